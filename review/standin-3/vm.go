package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The ports of a VM.
const (
	clientPort   = 8465
	readyPort    = 8460
	peerPort     = 7560
	operatorPort = 7575
	metricsPort  = 9464
)

// vm is a machine with one process of the system.
type vm struct {
	name, ip, zone string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// settings returns the settings of a VM, as deploy/settings.yaml.tmpl gives them.
func (v *vm) settings(w *world) string {
	return fmt.Sprintf(`vm:
  id: "%s"
  address: "%s"
  availability-zone: "%s"
  descriptors: 4200
  bandwidth: 1000.0
regions:
  "zh-hoengg": "nordost-ch"
  "vd-ecublens": "suisse-ouest"
  "ti-viganello": "ticino-sud"
listen:
  callers: "%[2]s:%[4]d"
  ready: "%[2]s:%[5]d"
  peers: "%[2]s:%[6]d"
  operators: "%[2]s:%[7]d"
  metrics: "%[2]s:%[8]d"
platform:
  store: "%[9]s"
  duties: "%[10]s"
  duties-rate: 50.0
grace: "6s"
drain: "7000ms"
configuration: "3000ms"
lease: "4000ms"
`, v.name, v.ip, v.zone, clientPort, readyPort, peerPort, operatorPort, metricsPort, w.storeAddress, w.dutiesAddress)
}

// start starts the process with the command of the deploy file.
func (v *vm) start(w *world) error {
	path := filepath.Join(w.dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(v.settings(w)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, v.name+".log"))
	if err != nil {
		return err
	}
	v.cmd = exec.Command("target/marigoldgauge-platform", "serve")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "MARIGOLDGAUGE_SETTINGS=" + path}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		// How the process ended shows in its log.
		_ = v.cmd.Wait()
		_ = log.Close()
		close(v.ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	// The process may have ended.
	_ = v.cmd.Process.Signal(s)
}

// kill ends the process and waits until it has ended.
func (v *vm) kill() {
	if v.cmd != nil && v.ended != nil {
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
}

// awaitReady waits until the VM answers that it is ready.
func (v *vm) awaitReady(ctx context.Context) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/readyz", v.ip, readyPort), nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", v.name, ctx.Err())
		}
	}
}

// listen opens a listener of the stand-ins.
func listen(address string) (net.Listener, error) {
	return net.Listen("tcp4", address)
}
