package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// planner is one process of the program, started as the deploy file says.
type planner struct {
	name    string
	listen  string
	agent   *agent
	fleet   *fleet
	command *exec.Cmd
	ended   chan struct{}

	mu      sync.Mutex
	ending  bool      // it was sent SIGTERM or is not running
	readyAt time.Time // first answer to a ping since its first start
}

// newPlanner chooses a free port for a planner, which is the same after a restart.
func newPlanner(name string, f *fleet) (*planner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listen := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return nil, err
	}
	a, err := newAgent(f.servers)
	if err != nil {
		return nil, err
	}
	return &planner{name: name, listen: listen, agent: a, fleet: f, ending: true}, nil
}

// start writes the configuration, starts the process and waits until it answers a ping.
func (p *planner) start() error {
	known := p.agent.known()
	text, err := json.Marshal(map[string]any{
		"name":      p.name,
		"listen":    p.listen,
		"discovery": p.agent.address,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     known,
		"settings":  p.fleet.settings(),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(p.fleet.folder, p.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command("/bin/sh", "-c", "exec bin/lichenpick serve")
	command.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME="+p.name, "EDGE_LISTEN="+p.listen, "EDGE_DISCOVERY="+p.agent.address)
	command.Stdout = logFile
	command.Stderr = logFile
	ended := make(chan struct{})
	p.mu.Lock() // so that a signal to the script finds the process
	if err := command.Start(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.command = command
	p.ended = ended
	p.mu.Unlock()
	go func() { _ = command.Wait(); close(ended) }()
	deadline := time.Now().Add(10 * time.Second)
	for !p.answersPing() {
		if time.Now().After(deadline) {
			return fmt.Errorf("planner %s gave no answer", p.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.agent.noteTold(known)
	p.mu.Lock()
	p.ending = false
	if p.readyAt.IsZero() {
		p.readyAt = time.Now()
	}
	p.mu.Unlock()
	say("planner %s is ready", p.name)
	return nil
}

func (p *planner) answersPing() bool {
	conn, err := net.DialTimeout("tcp", p.listen, 250*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, "ping\r\n"); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "pong\r\n"
}

func (p *planner) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ending
}

func (p *planner) ready() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readyAt
}

// terminate sends SIGTERM, and SIGKILL to a process that has not ended 5 s later.
func (p *planner) terminate() {
	p.mu.Lock()
	p.ending = true
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil { // it was never started
		return
	}
	select {
	case <-ended: // it has ended already
		return
	default:
	}
	say("planner %s gets SIGTERM", p.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		_ = command.Process.Kill()
		<-ended
	}
	say("planner %s has ended", p.name)
}

// crashed reports whether the process ended without a signal.
func (p *planner) crashed() bool {
	if !p.available() {
		return false
	}
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
