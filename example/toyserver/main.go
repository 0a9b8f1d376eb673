// Command toyserver surrounds a sender on this machine with what it needs to be tried: a discovery that lists one
// endpoint, and that endpoint, which prints what it receives.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"eiderhaven/example/toy"
	"eiderhaven/internal/http1"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	endpoint := flag.String("endpoint", "127.0.0.1:9100", "where the endpoint listens")
	status := flag.Int("status", 200, "what the endpoint answers: 200, 429, 500 or 503")
	flag.Parse()
	if err := run(*discovery, *endpoint, *status); err != nil {
		fmt.Fprintln(os.Stderr, "toyserver:", err)
		os.Exit(1)
	}
}

func run(discovery, endpoint string, status int) error {
	e, err := toy.NewEndpoint(endpoint, func(id string, call int) *http1.Response {
		fmt.Printf("endpoint: call %d, message %s, answered %d\n", call, id, status)
		return &http1.Response{Status: status}
	})
	if err != nil {
		return err
	}
	defer e.Close()
	d, err := toy.NewDiscovery(discovery, toy.Entry{Host: "toy-1", Dial: e.Addr(), Site: "here", Class: "any",
		Block: 7, Health: "Ready", Share: 10})
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Println("toyserver: discovery on", d.Addr(), "lists an endpoint of destination 7 on", e.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	look := time.NewTicker(200 * time.Millisecond)
	defer look.Stop()
	for seen := 0; ; {
		select {
		case <-stop:
			return nil
		case <-look.C:
		}
		for _, line := range d.Notices()[seen:] {
			fmt.Println("discovery: notice", line)
			seen++
		}
	}
}
