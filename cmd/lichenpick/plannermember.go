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
	file          string // path of the planner's settings file
	address       string // address at which the planner listens for proxies
	statusAddress string
	command       *exec.Cmd      // process of the planner; nil: the planner does not run
	cpu           time.Duration  // user and system time of all processes that have exited
	maxRSSBytes   int64          // largest resident set size of any process that has exited
	status        planner.Status // status at the last successful poll
}

// newPlannerMember writes the settings file of one planner. If the planner shares a fleet, newPlannerMember also initialises the
// planner's store. The planner's ports are the ports in the settings plus number, the planner's index in its group.
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

// shiftPort returns the address with its port increased by the given amount.
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

// stop sends a signal to the planner's process, waits until the process has exited, and records the resource usage of the
// process. It does nothing if the planner does not run.
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
