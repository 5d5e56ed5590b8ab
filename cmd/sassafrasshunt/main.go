// Command sassafrasshunt runs one proxy instance.
package main

func main() {}
