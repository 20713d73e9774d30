package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// deployed reads one line of the deploy file.
func deployed(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		t.Fatalf("deploy/balancer.toml has no %s", name)
	}
	return string(found[1])
}

// What the deploy file builds is linked dynamically against the C library, and run ends in one process that has no child.
// README and .ci/run build by the same words.
func TestTheDeployFileBuildsAndRunsOneDynamicProcess(t *testing.T) {
	build, run := deployed(t, "build"), deployed(t, "run")
	for _, name := range []string{"../../README.md", "../../.ci/run"} {
		if text, err := os.ReadFile(name); err != nil || !strings.Contains(string(text), build) {
			t.Errorf("%s does not build by %q (%v)", name, build, err)
		}
	}
	bin := t.TempDir()
	built := exec.Command("/bin/sh", "-c", strings.ReplaceAll(build, "bin", bin))
	built.Dir = "../.."
	if out, err := built.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file, err := elf.Open(filepath.Join(bin, "passtack"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Fatalf("it is linked against %v (%v), not the C library", libraries, err)
	}
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Fatal("it names no dynamic linker")
	}
	told := filepath.Join(bin, "site.json")
	if err := os.WriteFile(told, []byte(strings.Replace(site, "127.0.0.1:6543", "127.0.0.1:0", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	started := exec.Command("/bin/sh", "-c", strings.ReplaceAll(run, "bin/", bin+"/"))
	started.Env = append(os.Environ(), "BALANCER_CONFIG="+told)
	started.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := started.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		t.Fatal(err)
	}
	defer started.Wait()
	defer started.Process.Kill()
	said, seen := make([]byte, 1<<16), 0
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(string(said[:seen]), "event=started"); {
		n, err := log.Read(said[seen:])
		if seen += n; err != nil || time.Now().After(deadline) {
			t.Fatalf("it does not start (%v): %s", err, said[:seen])
		}
	}
	name, err := os.Readlink("/proc/" + strconv.Itoa(started.Process.Pid) + "/exe")
	if err != nil || filepath.Base(name) != "passtack" {
		t.Errorf("the process that run starts is %s (%v), not the program itself", name, err)
	}
	tasks, _ := filepath.Glob("/proc/" + strconv.Itoa(started.Process.Pid) + "/task/*/children")
	for _, task := range tasks {
		if children, _ := os.ReadFile(task); len(children) > 0 {
			t.Errorf("it has children: %s", children)
		}
	}
	if len(tasks) == 0 {
		t.Error("its tasks cannot be looked at")
	}
}
