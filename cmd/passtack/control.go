package main

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/signal"
	"syscall"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/rollout/server"
)

const (
	controlMachineSockets = 4096
	controlMachineBuffers = 256 << 20              // bytes
	lastMessagesDelay     = 200 * time.Millisecond // between the shutdown and the end, to send the last messages
)

// controlMachine is the command that runs one of the machines that store the configuration of a fleet.
type controlMachine struct {
	Operator string `help:"The operator's file, with a control_machine block (HCL)." type:"existingfile" required:"" placeholder:"FILE"`
}

// Run serves until SIGTERM or SIGINT.
func (c *controlMachine) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP)
	config, err := config.ReadMachine(c.Operator)
	if err != nil {
		return err
	}
	l, err := eventloop.New(controlMachineSockets, controlMachineBuffers)
	if err != nil {
		return err
	}
	defer l.Close()
	storage, persisted, err := server.OpenFileStorage(config.DataDir, config.Name, l.Wake)
	if err != nil {
		return err
	}
	defer storage.Close()
	s, err := server.New(l, *config, storage, persisted, randomNumber())
	if err != nil {
		return err
	}
	shutdown := make(chan struct{}, 1)
	go func() {
		<-signals
		shutdown <- struct{}{}
		l.Wake()
	}()
	s.LogStarted()
	return l.Run(func() {
		storage.HandleResults()
		select {
		case <-shutdown:
			s.Shutdown()
			l.At(l.Now()+lastMessagesDelay, l.Stop)
		default:
		}
	})
}

// randomNumber returns a random number other than 0.
func randomNumber() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
