// Command deployment2 plays the platform round planners for the cases of the second review: discovery's agents, collectors,
// proxies, clients and servers, all on loopback. It exits with 0 if the case's rule was kept, 1 if it was broken, and 2 if the
// case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu sync.Mutex
	record   *bufio.Writer
	origin   = time.Now()
)

// say writes a line to the record.
func say(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f %s\n", time.Since(origin).Seconds(), fmt.Sprintf(format, args...))
}

// scenario is a case: it builds a fleet, and plays the day.
type scenario struct {
	rule  string
	build func(f *fleet) error
	play  func(f *fleet, trouble bool) error
}

// proxyEnd is the case that needs the project's own proxy instead of the platform.
const proxyEnd = "proxy-end"

// stopOnSignal ends the processes of a case when the script itself is ended.
func stopOnSignal(stopProcesses func(), folder string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		stopProcesses()
		_ = os.RemoveAll(folder)
		os.Exit(2)
	}()
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	name := flag.String("case", "", "number of the case")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	played, known := scenarios[*name]
	known = known || *name == proxyEnd
	file, err := os.Create(*path)
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "cannot run case", *name, err)
		return 2
	}
	record = bufio.NewWriter(file)
	defer func() {
		recordMu.Lock()
		defer recordMu.Unlock()
		_ = record.Flush()
		_ = file.Close()
	}()
	folder, err := os.MkdirTemp("", "deployment2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	if *name == proxyEnd {
		return runProxyEnd(folder, *trouble)
	}
	f := newFleet(folder)
	f.trouble = *trouble
	stopOnSignal(func() {
		for _, p := range f.planners {
			p.terminate()
		}
	}, folder)
	err = played.build(f)
	if err == nil {
		err = f.run()
	}
	if err == nil {
		err = played.play(f, *trouble)
	}
	crashed := false
	for _, p := range f.planners {
		if err == nil && p.crashed() {
			crashed = true
			say("planner %s ended by itself", p.name)
		}
		p.terminate()
	}
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	if err != nil {
		say("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	say("sent %d, served %d, failed %d, not sent %d", f.sent, f.served, f.failed, f.unserved)
	for _, rule := range slices.Sorted(maps.Keys(f.broken)) {
		say("broken: %s, %d times; first: %s", rule, f.broken[rule], f.firstBad[rule])
	}
	if f.served == 0 {
		fmt.Println("could not run: nothing was served")
		return 2
	}
	if crashed {
		fmt.Println("broken: a planner ended by itself")
		return 1
	}
	if f.broken[played.rule] > 0 {
		fmt.Printf("broken: %s: %s\n", played.rule, f.firstBad[played.rule])
		return 1
	}
	fmt.Printf("kept: %s; other rules seen broken: %d\n", played.rule, len(f.broken))
	return 0
}
