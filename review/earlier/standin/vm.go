package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	frontendPort = 8465
	readyPort    = 8460
	internalPort = 7560
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
)

// vm is a machine on which the program of the deploy file runs.
type vm struct {
	platform *platform
	name     string
	zone     string
	number   int
	dir      string
	command  *exec.Cmd
	ended    chan struct{}
	// stoppedAt holds the times of planned stops under load.
	stoppedAt []time.Time
}

// newVM returns a machine whose process is not started.
func (p *platform) newVM(number int, name, zone, dir string) *vm {
	return &vm{platform: p, name: name, zone: zone, number: number, dir: dir}
}

// address returns an address of the machine.
func (v *vm) address(port int) netip.AddrPort { return v.platform.address(1, v.number, port) }

// settings fills in the template of the deploy file.
func (v *vm) settings(zones []string) (string, error) {
	raw, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return "", err
	}
	section := regexp.MustCompile(`(?s)\{\{#Zones\}\}\n(.*?)\{\{/Zones\}\}\n`)
	text := section.ReplaceAllStringFunc(string(raw), func(s string) string {
		out := ""
		for _, zone := range zones {
			out += strings.NewReplacer("{{@}}", zone, "{{.}}", "region-"+zone).Replace(section.FindStringSubmatch(s)[1])
		}
		return out
	})
	text = strings.NewReplacer(
		"{{NodeName}}", v.name, "{{Ip}}", v.address(0).Addr().String(), "{{Zone}}", v.zone, "{{Limits.MaxFds}}", "4200", "{{Limits.BandwidthMbps}}", "1000",
		"{{BindAddresses.Frontend}}", v.address(frontendPort).String(), "{{BindAddresses.Ready}}", v.address(readyPort).String(),
		"{{InternalPortRange.0}}", fmt.Sprint(internalPort), "{{InternalPortRange.1}}", fmt.Sprint(internalPort+15),
		"{{platform.Address}}", v.platform.address(2, 1, platformPort).String(), "{{CloudApi.Address}}", v.platform.address(2, 2, platformPort).String(),
		"{{CloudApi.TasksPerS}}", "50.0", "{{LimitsConfig.GracePeriodS}}", "6", "{{LimitsConfig.DrainTimeoutMs}}", "7000",
		"{{LimitsConfig.ConfigApplyMs}}", "3000", "{{LimitsConfig.LivenessMs}}", "4000",
	).Replace(text)
	if n := strings.Index(text, "{{"); n >= 0 {
		return "", fmt.Errorf("the template has an unknown field: %.40s", text[n:])
	}
	return text, nil
}

// start starts the process with the command of the deploy file.
func (v *vm) start(zones []string) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(deploy))
	if run == nil {
		return fmt.Errorf("the deploy file has no command")
	}
	text, err := v.settings(zones)
	if err != nil {
		return err
	}
	path := filepath.Join(v.dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := strings.Fields(run[1])
	v.command = exec.Command(words[0], words[1:]...)
	v.command.Env = []string{"MARIGOLDGAUGE_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	v.platform.record.add("vm %s: started", v.name)
	ended, command := make(chan struct{}), v.command
	v.ended = ended
	v.platform.group.Go(func() error {
		err := command.Wait()
		v.platform.record.add("vm %s: ended (%v)", v.name, err)
		close(ended)
		return nil
	})
	return nil
}

// terminate sends SIGTERM and, after the grace period, SIGKILL, as the platform does. It
// returns when the process has ended.
func (v *vm) terminate() {
	v.platform.record.add("vm %s: SIGTERM", v.name)
	_ = v.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(graceTime):
		v.platform.record.add("vm %s: SIGKILL", v.name)
		v.kill()
	}
}

// kill ends the process.
func (v *vm) kill() {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.ended
}

// ready asks the readiness check.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.address(readyPort).String() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
