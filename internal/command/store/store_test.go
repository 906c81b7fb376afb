package store

import (
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"toucangap/internal/command"
	"toucangap/internal/rollout"
)

func TestTakenVersionIsConflict(t *testing.T) {
	taken := merry.Prepend(&rollout.VersionTakenError{Ref: rollout.Ref{Version: 2}}, "propose version 2")
	err := convertVersionTaken(taken)
	require.Equal(t, command.ExitConflict, command.ExitCode(err))
	require.ErrorContains(t, err, "version 2 belongs to another bundle")
	require.Equal(t, command.ExitOK, command.ExitCode(convertVersionTaken(nil)))
	require.Equal(t, command.ExitFailure, command.ExitCode(convertVersionTaken(rollout.ErrTooLarge)))
}
