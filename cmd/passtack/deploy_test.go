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

// deploySetting reads a string setting of deploy/balancer.toml.
func deploySetting(t *testing.T, name string) string {
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

// The build command of the deploy file has to produce a program that is linked dynamically against the C library, and its run command has to
// become that program, as one process without children. README and .ci/run have to contain the same build command.
func TestDeployFileBuildsAndRunsSingleDynamicProcess(t *testing.T) {
	build, run := deploySetting(t, "build"), deploySetting(t, "run")
	for _, name := range []string{"../../README.md", "../../.ci/run"} {
		if text, err := os.ReadFile(name); err != nil || !strings.Contains(string(text), build) {
			t.Errorf("%s does not contain the build command %q (%v)", name, build, err)
		}
	}
	bin := t.TempDir()
	buildCommand := exec.Command("/bin/sh", "-c", strings.ReplaceAll(build, "bin", bin))
	buildCommand.Dir = "../.."
	if out, err := buildCommand.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file, err := elf.Open(filepath.Join(bin, "passtack"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Fatalf("the program is linked against %v (%v), not the C library", libraries, err)
	}
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Fatal("the program names no dynamic linker")
	}
	siteFile := filepath.Join(bin, "site.json")
	if err := os.WriteFile(siteFile, []byte(strings.Replace(testSite, "127.0.0.1:6543", "127.0.0.1:0", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command("/bin/sh", "-c", strings.ReplaceAll(run, "bin/", bin+"/"))
	process.Env = append(os.Environ(), "BALANCER_CONFIG="+siteFile)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer process.Wait()
	defer process.Process.Kill()
	output, outputSize := make([]byte, 1<<16), 0
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(string(output[:outputSize]), "event=started"); {
		n, err := log.Read(output[outputSize:])
		if outputSize += n; err != nil || time.Now().After(deadline) {
			t.Fatalf("the program did not start (%v): %s", err, output[:outputSize])
		}
	}
	name, err := os.Readlink("/proc/" + strconv.Itoa(process.Process.Pid) + "/exe")
	if err != nil || filepath.Base(name) != "passtack" {
		t.Errorf("the process of the run command is %s (%v), not the program itself", name, err)
	}
	tasks, _ := filepath.Glob("/proc/" + strconv.Itoa(process.Process.Pid) + "/task/*/children")
	for _, task := range tasks {
		if children, _ := os.ReadFile(task); len(children) > 0 {
			t.Errorf("the process has children: %s", children)
		}
	}
	if len(tasks) == 0 {
		t.Error("the tasks of the process cannot be read")
	}
}
