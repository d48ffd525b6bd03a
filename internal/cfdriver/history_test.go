package cfdriver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"cranberryford/internal/cfstandin"
)

func TestAnsweredCallsCountBeforeTheirOutputArrives(t *testing.T) {
	RegisterTestingT(t)
	line, err := json.Marshal(cfstandin.Call{Key: "k", Path: "/"})
	Expect(err).NotTo(HaveOccurred())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("[" + string(line) + "]"))
	}))
	defer srv.Close()
	out := gbytes.NewBuffer()
	v := &VMProc{addr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
	v.Worker.session = &gexec.Session{Out: out}
	time.AfterFunc(100*time.Millisecond, func() { _, _ = out.Write(append(line, '\n')) })
	c := &Cluster{VMs: []*VMProc{v}}
	Expect(c.ExecutionCounts()).To(Equal(map[string]int{"k": 1}))
}
