package ledger

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// testKey returns the n-th idempotency key issued at the given time.
func testKey(issued time.Time, n int) string {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], uint64(n))
	return request.NewID(issued, random)
}

func deployment(servers ...string) *configv1.Deployment {
	d := &configv1.Deployment{Services: []*configv1.Service{{Name: "app", Kind: configv1.ServiceKind_SERVICE_KIND_PLAIN}}}
	for _, name := range servers {
		d.BackendServers = append(d.BackendServers, &configv1.BackendServer{Name: name, Service: "app"})
	}
	return d
}
