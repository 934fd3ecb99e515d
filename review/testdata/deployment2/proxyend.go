package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the requests that clients send to the project's own proxy. The class's deadline is 2.5 s.
const (
	ownDeadline = 2500 * time.Millisecond
	ownSlack    = 500 * time.Millisecond // up to this long after its time, an answer only earns nothing
	ownUsual    = 150 * time.Millisecond // time that most requests take at a server
	ownLong     = 2000 * time.Millisecond
	ownClients  = 8
)

// ownGroups are the classes of the example settings.
const ownGroups = `groups { name: "check" latency_budget: "600ms" expiry: "1.5s" utility: 3 repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" utility: 5 repeat: NON_RETRIABLE }
`

// ownFleet is a planner and a proxy of the project's own, with servers and clients.
type ownFleet struct {
	folder  string
	planner *exec.Cmd
	proxy   *exec.Cmd
	address string // of the proxy

	mu       sync.Mutex
	ran      map[string]bool // requests that a server took in, by their ids
	answered int
	lost     int
	first    string
	over     bool
}

// ServeHTTP is a server: each third request of a client takes long, though less than its deadline.
func (o *ownFleet) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Flow-Id")
	o.mu.Lock()
	o.ran[id] = true
	o.mu.Unlock()
	say("a server takes in %s", id)
	if request.Header.Get("Long") != "" {
		time.Sleep(ownLong)
	} else {
		time.Sleep(ownUsual)
	}
	_, _ = fmt.Fprintln(response, "done", id)
}

// client sends requests, one after the other, and judges how each ends.
func (o *ownFleet) client(name int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: ownDeadline + ownSlack}
	for number := 0; ; number++ {
		o.mu.Lock()
		over := o.over
		o.mu.Unlock()
		if over {
			return
		}
		id := fmt.Sprintf("c%d-%d", name, number)
		request, err := http.NewRequest(http.MethodPost, "http://"+o.address+"/", strings.NewReader("charge"))
		if err != nil {
			return
		}
		request.Header.Set("Traffic-Group", "charge")
		request.Header.Set("Flow-Id", id)
		if (name+number)%3 == 0 {
			request.Header.Set("Long", "1")
		}
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		o.judge(id, response, err)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// judge records the end of a request. One that a server took in, and that has no answer in its time, is lost.
func (o *ownFleet) judge(id string, response *http.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.answered++
		say("client gets %d for %s", response.StatusCode, id)
	case o.ran[id]:
		o.lost++
		text := fmt.Sprintf("%s was taken in by a server and is never answered: %v", id, err)
		say("RULE BROKEN, final answer: %s", text)
		if o.first == "" {
			o.first = text
		}
	case !errors.Is(err, syscall.ECONNREFUSED):
		say("client fails with %s, which no server took in: %v", id, err)
	}
}

// startProcess starts one of the project's programs with a settings file.
func (o *ownFleet) startProcess(kind string) (*exec.Cmd, error) {
	command := exec.Command("bin/lichenpick", kind, "-c", filepath.Join(o.folder, kind+".txtpb"))
	logFile, err := os.OpenFile(filepath.Join(o.folder, kind+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	command.Stderr = logFile
	return command, command.Start()
}

func (o *ownFleet) startProxy() (err error) {
	o.proxy, err = o.startProcess("proxy")
	for deadline := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, dialErr := net.Dial("tcp", o.address)
		if dialErr == nil {
			_ = conn.Close()
			return nil
		}
	}
	return errors.Join(err, errors.New("the proxy doesn't listen"))
}

// end sends SIGTERM and waits until the process has ended.
func end(command *exec.Cmd) {
	if command == nil || command.Process == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGTERM)
	_ = command.Wait()
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// settings writes the settings of planner and proxy, and the list of servers.
func (o *ownFleet) settings(servers []string) error {
	planner, err := freeAddress()
	if err != nil {
		return err
	}
	if o.address, err = freeAddress(); err != nil {
		return err
	}
	var list, standing strings.Builder
	for _, server := range servers {
		fmt.Fprintf(&list, "servers { server: %q zone: \"east\" }\n", server)
		fmt.Fprintf(&standing, "standing: %q\n", server)
	}
	listPath := filepath.Join(o.folder, "list.txtpb")
	texts := map[string]string{
		listPath: list.String(),
		filepath.Join(o.folder, "planner.txtpb"): fmt.Sprintf("name: \"planner-1\"\nlisten: %q\nzones { name: \"east\" }\n%sproxies: 1\nlist { file { path: %q poll: \"500ms\" } }\n",
			planner, ownGroups, listPath),
		filepath.Join(o.folder, "proxy.txtpb"): fmt.Sprintf("name: \"edge-1\"\nlisten: %q\nzone: \"east\"\nplanners: %q\n%s%s",
			o.address, planner, ownGroups, standing.String()),
	}
	for path, text := range texts {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// playProxyEnd restarts the project's own proxy three times under load.
func playProxyEnd(o *ownFleet, trouble bool) error {
	var servers []string
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		servers = append(servers, listener.Addr().String())
		go func() { _ = http.Serve(listener, o) }()
	}
	if err := o.settings(servers); err != nil {
		return err
	}
	var err error
	if o.planner, err = o.startProcess("planner"); err != nil {
		return err
	}
	if err := o.startProxy(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for name := range ownClients {
		go o.client(name)
	}
	for range 3 {
		time.Sleep(9200 * time.Millisecond)
		if !trouble {
			continue
		}
		say("the proxy gets SIGTERM")
		start := time.Now()
		end(o.proxy)
		say("the proxy has ended after %.3f s", time.Since(start).Seconds())
		if err := o.startProxy(); err != nil {
			return err
		}
		say("the proxy is back")
	}
	time.Sleep(2 * time.Second)
	o.mu.Lock()
	o.over = true
	o.mu.Unlock()
	time.Sleep(ownDeadline + ownSlack)
	return nil
}

// runProxyEnd plays the case and returns the script's exit code.
func runProxyEnd(folder string, trouble bool) int {
	o := &ownFleet{folder: folder, ran: map[string]bool{}}
	stopOnSignal(func() { end(o.proxy); end(o.planner) }, folder)
	err := playProxyEnd(o, trouble)
	end(o.proxy)
	end(o.planner)
	o.mu.Lock()
	defer o.mu.Unlock()
	say("answered %d, lost %d", o.answered, o.lost)
	switch {
	case err != nil || o.answered == 0:
		fmt.Println("could not run:", err)
		return 2
	case o.lost > 0:
		fmt.Printf("broken: %d requests lost; first: %s\n", o.lost, o.first)
		return 1
	}
	fmt.Printf("kept: %d requests answered\n", o.answered)
	return 0
}
