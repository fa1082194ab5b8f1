package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/standin"
)

type orderBody struct {
	Verdict string `json:"verdict"`
	Result  string `json:"result"`
	Error   struct{ Code, Verdict string }
}

func sendOrder(t *testing.T, d *Daemon, id, body string) (int, orderBody) {
	t.Helper()
	text := fmt.Sprintf(`{"request_id":%q,"team":"names","body":%q,"timeout_ms":5000}`, id, body)
	resp, err := http.Post("http://"+d.Address("caller").String()+"/v1/orders", "application/json", bytes.NewBufferString(text))
	require.NoError(t, err)
	return readOrder(t, resp)
}

func readOrder(t *testing.T, resp *http.Response) (int, orderBody) {
	t.Helper()
	defer resp.Body.Close()
	var b orderBody
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&b))
	return resp.StatusCode, b
}

func arrivals(targets []*standin.Target, id string) int {
	n := 0
	for _, target := range targets {
		n += target.OrderArrivals(id)
	}
	return n
}

// Guards against an order that runs twice when it is resent, and against one
// whose resend does not get the first result.
func TestResentOrderRunsOnce(t *testing.T) {
	d := startHost(t)
	started := startTargets(t, d, standin.NewDataset("v1-", 3), 3)
	pushGroup(t, d)
	awaitTargets(t, d, 3)
	id := orders.NewRequestID(time.Now(), [10]byte{1})

	status, first := sendOrder(t, d, id, "roll 7")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ran", first.Verdict)
	status, again := sendOrder(t, d, id, "roll 7")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, first, again)
	status, other := sendOrder(t, d, id, "roll 8")
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "not_run", other.Error.Verdict)
	require.Equal(t, 1, arrivals(started, id))

	resp, err := http.Get("http://" + d.Address("caller").String() + "/v1/orders/" + id)
	require.NoError(t, err)
	_, looked := readOrder(t, resp)
	require.Equal(t, first, looked)
}

// Guards against an order that is sent again after a target read it and closed
// the connection, by this host or by net/http.
func TestOrderWithoutReplyIsNeverSentAgain(t *testing.T) {
	d := startHost(t)
	started := startTargets(t, d, standin.NewDataset("v1-", 3), 3)
	pushGroup(t, d)
	awaitTargets(t, d, 3)
	for _, target := range started {
		target.DropOrders(true)
	}
	id := orders.NewRequestID(time.Now(), [10]byte{2})
	for range 2 {
		status, body := sendOrder(t, d, id, "roll 7")
		require.Equal(t, http.StatusGatewayTimeout, status)
		require.Equal(t, "may_have_run", body.Error.Verdict)
	}
	require.Equal(t, 1, arrivals(started, id))
}

// Guards against an order that fails because the first target rejects it with
// proof that nothing ran.
func TestOrderGoesPastADrainingTarget(t *testing.T) {
	d := startHost(t)
	started := startTargets(t, d, standin.NewDataset("v1-", 3), 3)
	pushGroup(t, d)
	awaitTargets(t, d, 3)
	started[0].Drain()
	started[1].Drain()
	for i := range 8 {
		id := orders.NewRequestID(time.Now(), [10]byte{3, byte(i)})
		status, body := sendOrder(t, d, id, "roll 7")
		require.Equal(t, http.StatusOK, status, "%+v", body)
		require.Equal(t, 1, started[2].OrderArrivals(id))
	}
}

func awaitTargets(t testing.TB, d *Daemon, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s := d.loop.Snapshot()
		return s.Ready && len(s.GroupMembers["names"]) == n
	}, waitTimeout, 20*time.Millisecond)
}
