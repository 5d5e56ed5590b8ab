// Command loadtool drives statements through the proxy and reports what the clients saw.
package main

func main() {}
