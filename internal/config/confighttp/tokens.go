package confighttp

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config"
)

// minTokenBytes is the minimum length of a token. Shorter ones could be guessed.
const minTokenBytes = 16

// Tokens holds the bearer tokens of the teams.
type Tokens struct {
	teams []teamToken
}

type teamToken struct {
	team string
	sum  [sha256.Size]byte
}

// ParseTokens reads one team and token per line, separated by spaces. Empty
// lines and lines that start with # are skipped.
func ParseTokens(text string) (*Tokens, error) {
	t := &Tokens{}
	seen := map[[sha256.Size]byte]bool{}
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errors.Newf("line %d of the tokens is not a team and a token", n)
		}
		team, token := fields[0], fields[1]
		sum := sha256.Sum256([]byte(token))
		switch {
		case team == config.SystemTeam:
			return nil, errors.Newf("line %d of the tokens is for team %q, which can't have a token", n, team)
		case len(token) < minTokenBytes:
			return nil, errors.Newf("the token in line %d is shorter than %d bytes", n, minTokenBytes)
		case seen[sum]:
			return nil, errors.Newf("the token in line %d appears twice", n)
		}
		seen[sum] = true
		t.teams = append(t.teams, teamToken{team, sum})
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read tokens")
	}
	if len(t.teams) == 0 {
		return nil, errors.New("the tokens name no team")
	}
	return t, nil
}

// LoadTokens reads the tokens from a file, or from env if file is empty. It
// returns nil if both are empty, and an error if everyone may access the file.
func LoadTokens(file, env string) (*Tokens, error) {
	if file == "" {
		if env == "" {
			return nil, nil
		}
		return ParseTokens(env)
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, errors.Wrap(err, "admin token file")
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, errors.Newf("admin token file %s is accessible to everyone; run chmod o-rwx on it", file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "admin token file")
	}
	t, err := ParseTokens(string(text))
	return t, errors.Wrapf(err, "admin token file %s", file)
}

// CheckBind returns an error if the administration API would be served without
// tokens on an address that other machines can reach.
func CheckBind(listen string, t *Tokens) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return errors.Wrapf(err, "admin listen address %q is not an IP address and port", listen)
	}
	if t == nil && !addr.Addr().Unmap().IsLoopback() {
		return errors.Newf("admin listen address %s is not loopback; set -admin-token-file, or listen on 127.0.0.1", listen)
	}
	return nil
}

// team returns the team of a token. It compares with every token in constant
// time, so that its duration reveals nothing about them.
func (t *Tokens) team(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.teams {
		if subtle.ConstantTimeCompare(sum[:], t.teams[i].sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return t.teams[found].team, true
}
