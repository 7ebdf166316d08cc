package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

const (
	// binary and template are what the deploy file names.
	binary   = "target/basildale"
	template = "deploy/settings.yaml"
)

// fleet is the proxies of one deployment.
type fleet struct {
	dir       string
	processes []*process
}

// process is one proxy.
type process struct {
	name, zone, settings, log string
	front, ready              string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

// newFleet writes the settings of some proxies, one zone after the other, from the template of
// the deploy file.
func newFleet(dir, store string, zones ...string) (*fleet, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	for i, zone := range zones {
		p := &process{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 10+i)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return nil, err
		}
		p.front, p.ready = ip+":"+ports[0], ip+":"+ports[1]
		p.settings, p.log = filepath.Join(dir, p.name+".yaml"), filepath.Join(dir, p.name+".log")
		settings, err := render(string(text), map[string]string{
			"node_name": p.name, "zone": zone, "ip": ip, "listen.front": p.front, "listen.ready": p.ready,
			"internal_ports.0": ports[2], "internal_ports.1": ports[3], "platform.address": store, "cloud_api.address": store,
			"limits.cpu_share": "0.4", "bounds.grace_s": "6", "bounds.drain_ms": "7000", "contracts": "base,drain,config,cost,recover,sql,platform",
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		f.processes = append(f.processes, p)
	}
	return f, nil
}

// render fills in the template of the settings. Sections about quotas are left out: the
// deployment has none.
func render(text string, values map[string]string) (string, error) {
	const open, end = "{{#bounds.quota_window_s}}", "{{/bounds.quota_window_s}}"
	if from, to := strings.Index(text, open), strings.Index(text, end); from >= 0 && to > from {
		text = text[:from] + text[to+len(end):]
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has placeholders that are not known here: " + text)
	}
	return text, nil
}

func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		out = append(out, port)
	}
	return out, nil
}

// start starts a proxy. It ends with the thread that started it, so that none outlives the
// command.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = []string{"BASILDALE_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer out.Close()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait()
		}
		close(p.done)
	}()
	return <-started
}

// kill ends a proxy at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// isReady asks as the platform's balancer does.
func (p *process) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + p.ready + "/basildale/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) start() error {
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) kill() {
	for _, p := range f.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			p.kill()
		}
	}
}

// awaitReady waits until all proxies are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, p := range f.processes {
		for !p.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
