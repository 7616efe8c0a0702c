// Package kern is the micro-kernel that runs the services of a process: it
// starts them in order, lets them find each other by name, and stops them in
// reverse order.
//
// A program adds its services and calls Run. If a service fails, all of them
// are stopped and Run returns.
//
//	k := &kern.Kernel{Log: slog.Default()}
//	k.Add("store", storeService)
//	k.Add("http", httpService)
//	err := k.Run(ctx)
package kern

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"
)

// ErrNotFound is returned by Find if there is no service of that name and type.
var ErrNotFound = errors.New("kern: no service of that name and type; add it before the service that looks it up")

// Service is a part of a program that is started and stopped. Start returns
// once the service can be used. Stop ends it, and may take until ctx ends to
// let work in flight finish.
type Service interface {
	Start(ctx context.Context, k *Kernel) error
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process. Set the exported fields before Run.
type Kernel struct {
	// Log receives one line for each start and stop.
	Log *slog.Logger
	// StopContext returns the context that limits how long all the stops
	// together may take. Without it they have no limit.
	StopContext func() (context.Context, context.CancelFunc)

	mu       sync.Mutex
	names    []string
	services map[string]Service
	fail     chan error
}

// Add registers a service under a name. Services are started in the order in
// which they are added.
func (k *Kernel) Add(name string, s Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.services == nil {
		k.services = make(map[string]Service)
	}
	k.names = append(k.names, name)
	k.services[name] = s
}

// Find returns the service of that name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name].(T)
	if !ok {
		var none T
		return none, errors.Wrap(ErrNotFound, name)
	}
	return s, nil
}

// Fail tells the kernel that a running service has failed, which stops all
// services.
func (k *Kernel) Fail(err error) {
	select {
	case k.failures() <- err:
	default:
	}
}

func (k *Kernel) failures() chan error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fail == nil {
		k.fail = make(chan error, 1)
	}
	return k.fail
}

// Run starts the services, waits until ctx ends or a service fails, and stops
// the started services in reverse order. It returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	failures := k.failures()
	started, err := k.startAll(ctx)
	if err == nil {
		k.Log.Info("process_ready", "services", len(k.names))
		select {
		case <-ctx.Done():
		case err = <-failures:
		}
	}
	if stopErr := k.stopAll(started); err == nil {
		err = stopErr
	}
	return err
}

func (k *Kernel) startAll(ctx context.Context) ([]string, error) {
	var started []string
	for _, name := range k.names {
		if err := k.services[name].Start(ctx, k); err != nil {
			return started, errors.Wrapf(err, "start %s", name)
		}
		k.Log.Debug("service_started", "service", name)
		started = append(started, name)
	}
	return started, nil
}

func (k *Kernel) stopAll(started []string) error {
	ctx, cancel := context.Background(), func() {}
	if k.StopContext != nil {
		ctx, cancel = k.StopContext()
	}
	defer cancel()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		err := k.services[started[i]].Stop(ctx)
		if err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", started[i])
		}
		k.Log.Debug("service_stopped", "service", started[i])
	}
	return first
}
