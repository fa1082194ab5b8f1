package accounts

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a plan in which a key or a name has two owners, or a limit makes no sense.
func TestValidate(t *testing.T) {
	good := func() []Account {
		return []Account{
			{Name: "a", Keys: []Key{KeyOf("k1"), KeyOf("k2")}, Rate: 18, Burst: 18},
			{Name: "b", Keys: []Key{KeyOf("k3")}},
		}
	}
	require.NoError(t, Validate(good()))
	for name, spoil := range map[string]func(l []Account){
		"accounts \"a\" and \"b\" share a key": func(l []Account) { l[1].Keys = append(l[1].Keys, KeyOf("k1")) },
		"listed twice":                         func(l []Account) { l[1].Name = "a" },
		"holds a control character":            func(l []Account) { l[0].Name = "a\r\nX-Other: 1" },
		"name \"\" is empty":                   func(l []Account) { l[0].Name = "" },
		"has an empty key":                     func(l []Account) { l[0].Keys[0] = KeyOf("") },
		"has the rate -1":                      func(l []Account) { l[0].Rate = -1 },
		"has the rate +Inf":                    func(l []Account) { l[0].Rate = math.Inf(1) },
		"has the burst NaN":                    func(l []Account) { l[0].Burst = math.NaN() },
		"has the burst 1e+12":                  func(l []Account) { l[0].Burst = 1e12 },
	} {
		list := good()
		spoil(list)
		require.ErrorContains(t, Validate(list), name)
	}
}

// Guards against requests that run without a key, or for an account that does not hold it.
func TestIdentify(t *testing.T) {
	d := NewDirectory([]Account{{Name: "a", Keys: []Key{KeyOf("k1")}}, {Name: "b", Keys: []Key{KeyOf("k2")}}})
	a, err := d.Identify(false, []Key{KeyOf("k2")})
	require.Nil(t, err)
	require.Equal(t, "b", a.Name)
	_, err = d.Identify(false, nil)
	require.Equal(t, CodeUnknownKey, err.Code)
	_, err = d.Identify(false, []Key{KeyOf("k3")})
	require.Equal(t, CodeUnknownKey, err.Code)
	_, err = d.Identify(false, []Key{KeyOf("k1"), KeyOf("k1")})
	require.Equal(t, CodeRepeatedKey, err.Code)
	a, err = d.Identify(true, []Key{KeyOf("k1")})
	require.Nil(t, err)
	require.Nil(t, a, "a public route belongs to no account")
	a, err = NewDirectory(nil).Identify(false, nil)
	require.Nil(t, err)
	require.Nil(t, a, "a plan without accounts asks for no key")
	_, err = NewDirectory([]Account{}).Identify(false, nil)
	require.Equal(t, CodeUnknownKey, err.Code, "an empty list of accounts admits no request")
}

// Guards against a revoked key that is accepted too long by a host that is cut off, and against
// hosts that refuse keys while the leader is replaced.
func TestRevocation(t *testing.T) {
	r := Revocation{Bound: 5 * time.Second, Drift: 0.05}
	at := time.Unix(1000, 0)
	require.False(t, r.Confirmed(at, time.Time{}))
	require.True(t, r.Confirmed(at.Add(3*time.Second), at), "served until the confirmation is 0.6 of the bound old")
	require.False(t, r.Confirmed(at.Add(4700*time.Millisecond), at), "a clock that is 5 %% slow measures 4.75 s for 5 s")
	require.True(t, Revocation{}.Confirmed(at, time.Time{}), "no bound is set")
}
