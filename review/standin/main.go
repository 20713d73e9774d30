// Standin plays the cases of the review: the members of a cluster, discovery, clients and the platform that starts the project's own
// programs. It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// errBroken is wrapped by the errors of cases in which the rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by the name of their folder, each of which registers itself. With trouble false a case does the same without its
// disruption.
var cases = make(map[string]func(w *world, trouble bool) error)

const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// play plays one case and returns the exit status.
func play(name string, trouble bool) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{record: r, root: root, folder: folder}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	r.add("case %s, trouble %v", name, trouble)
	go func() { ended <- cases[name](w, trouble) }()
	select {
	case err = <-ended:
	case <-time.After(timeLimit):
		err = errors.New("the case took too long")
	case s := <-interrupted:
		err = fmt.Errorf("ended by signal %v", s)
	}
	switch {
	case err == nil:
		r.add("rule held")
		return 0
	case errors.Is(err, errBroken):
		r.add("%v", err)
		return 1
	}
	r.add("could not run: %v", err)
	return 2
}

// class is one class of the settings, with what its reads need.
type class struct {
	settings map[string]any
	need     string
	lag      int // microseconds
}

var (
	classLook = class{map[string]any{"name": "look", "effect": "safe", "points": 1, "target_us": 1000000, "hard_limit_us": 2500000}, "recent", 800000}
	classOwn  = class{map[string]any{"name": "own", "effect": "safe", "points": 1, "target_us": 800000, "hard_limit_us": 2000000}, "own_writes", 0}
)

// classOrder returns the class of writes. scope says which members drop a repeated token: cell or all.
func classOrder(scope string) class {
	return class{map[string]any{"name": "order", "effect": "keyed", "group": scope, "window_us": 1200000, "points": 6, "target_us": 600000, "late_worth": 0.5,
		"hard_limit_us": 2000000}, "update", 0}
}

// classSettings returns the keys of the settings that depend on the classes.
func classSettings(classes ...class) (list []map[string]any, info map[string]any) {
	var needs []string
	var lags []int
	for _, c := range classes {
		list, needs, lags = append(list, c.settings), append(needs, c.need), append(lags, c.lag)
	}
	return list, map[string]any{"class_read": needs, "lag_allowed_us": lags}
}

// site is the platform's file of one driver.
type site struct {
	name, listen, discovery string
	targets                 []target
	classes                 []class
}

func (s site) text() string {
	list, info := classSettings(s.classes...)
	for key, value := range map[string]any{"answers_stamped": true, "behind": "hold", "write_marks": "client"} {
		info[key] = value
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": seedOf(s.name),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  endpointList{1, true, s.targets},
		"settings": map[string]any{
			"areas": []string{"a"}, "tick_us": 5000, "registry_mode": "automatic", "classes": list, "family_info": info,
			"caps": map[string]any{"connect_timeout_us": 250000, "idle_close_us": 15000000, "max_retry_after_us": 300000,
				"may_cancel": true, "most_tries": 8},
			"rules": map[string]any{"cold_us": 16000000, "drain_grace_us": 250000, "fall_multiple": 4.0, "start_capacity": 0.25,
				"tip_after_us": 1000000},
			"report": map[string]any{"columns": []string{"x0", "x1"}, "how": "inline"},
		},
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return string(text)
}

// seedOf returns a seed for random numbers, another for each driver.
func seedOf(name string) string {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return fmt.Sprintf("%016x", hash.Sum64())
}

// group starts one primary and one replica, and discovery.
func (w *world) group() (*cluster, *discovery, error) {
	c := newCluster(w.record, 1200*time.Millisecond)
	var targets []target
	for i, name := range []string{"primary", "replica"} {
		m, err := c.start(name, i == 0)
		if err != nil {
			return nil, nil, err
		}
		targets = append(targets, target{UID: fmt.Sprint("s-", i+1), Endpoint: m.address, Zone: "a", State: "in_service", Size: 1})
	}
	d, err := startDiscovery(w.record, targets)
	return c, d, err
}

// driver starts a driver by the command of the deploy file, with an operator's file, and waits until it is ready.
func (w *world) driver(s site, operator string) error {
	sitePath, err := w.write(s.name+".json", s.text())
	if err != nil {
		return err
	}
	operatorPath, err := w.write(s.name+".hcl", operator)
	if err != nil {
		return err
	}
	if _, err := w.start("driver-"+s.name, "exec bin/passtack serve --operator "+operatorPath, "BALANCER_CONFIG="+sitePath); err != nil {
		return err
	}
	return awaitReady(s.listen)
}

// applications is the front of the cases, after the sample deploy/passtack.hcl.
const applications = `
front "odata" "offices" {
  listen = "LISTEN"
  root   = "/odata/"
  REPEATS
  set "Applications" {
    type   = "Application"
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    property "Version" {
      type     = "Edm.Int64"
      nullable = true
    }
    operation "read" {
      method    = "own"
      statement = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "update" {
      method    = "order"
      statement = "UPDATE items SET status = {Status}, version = version + 1 WHERE id = {key} RETURNING doc"
    }
  }
}
`

func applicationsFront(listen, repeats string) string {
	return strings.NewReplacer("LISTEN", listen, "REPEATS", repeats).Replace(applications)
}

// setStatus returns the body of an update.
func setStatus(status string) string { return fmt.Sprintf(`{"Status":"%s"}`, status) }

// maxTries is how often a client sends a request: clients retry by themselves up to twice.
const maxTries = 3

// usual is the number of ordinary updates of a case, by which the driver learns how long they take.
const usual = 20

// usualUpdates updates some entities, each of which must succeed and be run once. A refused update is sent again.
func (w *world) usualUpdates(c *cluster, service, name string) error {
	for i := range usual {
		key := fmt.Sprintf("%s-%d", name, i)
		a := reply{status: 503}
		for try := 0; a.status == 503 && try < maxTries; try++ {
			time.Sleep(a.retryAfter)
			a = w.request("PATCH", service+"('"+key+"')", setStatus("sent"), "Deadline-Ms", leftOf(time.Now()))
		}
		if a.status >= 300 || a.err != nil {
			return fmt.Errorf("an ordinary update was answered with %d, %v", a.status, a.err)
		}
		if err := w.ranOnce(c, key); err != nil {
			return err
		}
	}
	return nil
}

// ranOnce reports an error if the members have run the write of an entity more than once.
func (w *world) ranOnce(c *cluster, key string) error {
	runs := c.runs(key)
	w.record.add("check  the update of %s was run %d time(s)", key, runs)
	if runs > 1 {
		return fmt.Errorf("%w: the update of %s was run %d times", errBroken, key, runs)
	}
	return nil
}
