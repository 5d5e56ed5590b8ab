// Command standin-platform is the platform's key-value service for tests and
// the demo. It keeps its state in memory and runs until it is interrupted.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/standin/kvservice"
)

func main() {
	o := kvservice.DefaultOptions()
	listen := flag.String("listen", "127.0.0.1:0", "`address`, IP:port")
	flag.Float64Var(&o.WriteRate, "write-rate", o.WriteRate, "writes per second; more are refused with 429")
	flag.Float64Var(&o.ReadRate, "read-rate", o.ReadRate, "reads per second; more are refused with 429")
	flag.DurationVar(&o.InstanceLag, "instance-lag", o.InstanceLag, "how far the list of instances lags behind")
	flag.Parse()
	if err := run(*listen, o); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func run(address string, o kvservice.Options) error {
	service, err := kvservice.NewService(o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Handler: service.Handler()}
	var duties duty.Group
	service.Start(&duties)
	duties.Start("signal", func() {
		<-ctx.Done()
		service.Stop()
		_ = server.Close()
	})
	fmt.Printf("listen=%s\n", listener.Addr())
	err = server.Serve(listener)
	cancel()
	duties.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
