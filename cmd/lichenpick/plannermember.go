package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

// plannerMember is one planner of a group, including all its restarts.
type plannerMember struct {
	file          string // path of its settings file
	address       string // at which it listens for proxies
	statusAddress string
	command       *exec.Cmd      // nil: it does not run
	cpu           time.Duration  // user and system time of all processes that have exited
	maxRSSBytes   int64          // maximum resident set size of these processes
	status        planner.Status // at the last successful poll
}

// newPlannerMember writes the settings file of one planner, and initialises its store if it shares a fleet. Its ports are those
// of the settings plus its number.
func newPlannerMember(config *pb.Planner, number int, directory string) (*plannerMember, error) {
	var err error
	config.Listen, err = shiftPort(config.Listen, number)
	if err != nil {
		return nil, err
	}
	config.Status, err = shiftPort(config.Status, number)
	if err != nil {
		return nil, err
	}
	if config.Sharing != nil {
		config.Sharing.Store = filepath.Join(directory, config.Name+".store")
		if err := store.Init(config.Sharing.Store, config.Name); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(directory, config.Name+".txtpb")
	if err := os.WriteFile(file, []byte(settings.Format(config)), 0o600); err != nil {
		return nil, fmt.Errorf("writing planner settings: %w", err)
	}
	return &plannerMember{file: file, address: config.Listen, statusAddress: config.Status}, nil
}

// shiftPort returns an address with its port increased by a number.
func shiftPort(address string, by int) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("port of %s: %w", address, err)
	}
	return net.JoinHostPort(host, strconv.Itoa(number+by)), nil
}

// start starts the planner's process.
func (m *plannerMember) start() error {
	command := newPlannerProcess(m.file)
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting the planner of %s: %w", m.file, err)
	}
	m.command = command
	return nil
}

// poll reads the planner's status.
func (m *plannerMember) poll() error {
	status, err := planner.FetchStatus(context.Background(), m.statusAddress)
	if err != nil {
		return err
	}
	m.status = *status
	return nil
}

// stop sends the planner's process a signal, waits until it has exited, and records its resource usage. It does nothing if the
// planner does not run.
func (m *plannerMember) stop(signal os.Signal) {
	if m.command == nil {
		return
	}
	command := m.command
	m.command = nil
	_ = command.Process.Signal(signal) // fails only if the process has exited already
	_ = command.Wait()                 // the exit code does not matter
	state := command.ProcessState
	m.cpu += state.UserTime() + state.SystemTime()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		m.maxRSSBytes = max(m.maxRSSBytes, usage.Maxrss*1024)
	}
}
