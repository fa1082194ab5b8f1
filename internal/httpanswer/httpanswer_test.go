package httpanswer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status that counts as an answer and as an interim response, or as neither though RFC 9110 defines it.
func TestClassesOfStatuses(t *testing.T) {
	for status := range 1000 {
		class := status / 100
		require.Equal(t, class >= 2 && class <= 5, Final(status), status)
		require.Equal(t, class == 1 && status != 101, Interim(status), status)
		require.Equal(t, class == 2, Success(status), status)
	}
	require.EqualError(t, NotAnAnswer(0), "status 000 is not that of an answer")
}
