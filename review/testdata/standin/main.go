// Program standin plays the clients, the servers and the platform of the cases under review/. It speaks to loopback
// addresses only and ends by itself.
//
// It exits with 0 if the rule held, 1 if the rule was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fatal("no sub-command")
	}
	arguments := os.Args[2:]
	switch os.Args[1] {
	case "ports":
		printPorts(arguments)
	case "get":
		printPage(arguments)
	case "resets":
		os.Exit(playResets(arguments))
	case "platform-config":
		printPlatformConfig(arguments)
	case "platform":
		os.Exit(playPlatform(arguments))
	case "probe":
		os.Exit(playProbe(arguments))
	default:
		fatal("unknown sub-command " + os.Args[1])
	}
}

func fatal(cause any) {
	fmt.Fprintln(os.Stderr, "standin:", cause)
	os.Exit(exitNotRun)
}

// printPorts prints as many free loopback ports as asked for.
func printPorts(arguments []string) {
	count, err := strconv.Atoi(arguments[0])
	if err != nil {
		fatal(err)
	}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		defer listener.Close() // all stay open until the end, so that no port is printed twice
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
}

// printPage prints what an HTTP server answers to GET.
func printPage(arguments []string) {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(arguments[0])
	if err != nil {
		fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		fatal(err)
	}
}

// recorder writes lines with the time since its start, in seconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecorder appends to a file.
func newRecorder(path string) *recorder {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal(err)
	}
	return &recorder{file: file, start: time.Now()}
}

func (r *recorder) seconds() float64 { return time.Since(r.start).Seconds() }

func (r *recorder) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// conclude notes the result and prints it.
func (r *recorder) conclude(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}
