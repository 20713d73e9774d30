package node

import (
	"time"

	"passtack/internal/eventloop"
)

const (
	workerCount = 2 // number of workers for background jobs

	// workerTimeout is the longest time for which a stopping driver waits for its workers, and again for the last commit.
	workerTimeout = 2 * time.Second
)

// workerPool runs work that would block the event loop on goroutines of its own. The results are processed on the loop.
type workerPool struct {
	loop    *eventloop.Loop
	tasks   chan workerTask // nil: there are no workers, and tasks run on the loop
	results chan func()
}

type workerTask struct {
	work func() error
	done func(err error, took time.Duration)
}

// run lets a worker do the work. done is called on the loop, in a later iteration.
func (p *workerPool) run(work func() error, done func(err error, took time.Duration)) {
	if p.tasks == nil {
		err := work()
		p.loop.Defer(func() { done(err, 0) })
		return
	}
	p.tasks <- workerTask{work, done}
}

// processResults calls the done functions of finished tasks.
func (p *workerPool) processResults() {
	for {
		select {
		case done := <-p.results:
			done()
		default:
			return
		}
	}
}

// start starts the workers. stop ends them, waits for them for workerTimeout at most and processes their results.
func (p *workerPool) start(count int) (stop func()) {
	p.tasks = make(chan workerTask, count)
	p.results = make(chan func(), count)
	ended := make(chan struct{}, count)
	for range count {
		go func() {
			p.runTasks()
			ended <- struct{}{}
		}()
	}
	return func() {
		close(p.tasks)
		awaitAll(ended, count, workerTimeout)
		p.processResults()
	}
}

// runTasks is the body of one worker. It wakes the loop after each task.
func (p *workerPool) runTasks() {
	for task := range p.tasks {
		began := time.Now()
		err := task.work()
		took := time.Since(began)
		p.results <- func() { task.done(err, took) }
		p.loop.Wake()
	}
}

// awaitAll waits for count messages, but no longer than the timeout.
func awaitAll(ended <-chan struct{}, count int, timeout time.Duration) {
	expired := time.After(timeout)
	for range count {
		select {
		case <-ended:
		case <-expired:
			return
		}
	}
}

// startWorkers starts the workers that this driver needs. stop ends them and saves the state learned since the last commit.
func (n *Node) startWorkers() (stop func()) {
	if len(n.background.slices) == 0 && n.leases == nil && n.configuration == nil {
		return func() {}
	}
	// One worker more for lease promises and one for configurations: the queue has as many places as there are workers, so that the
	// loop never waits for one.
	stopWorkers := n.workers.start(workerCount + 2)
	return func() {
		stopWorkers()
		n.learned.saveRemaining()
	}
}
