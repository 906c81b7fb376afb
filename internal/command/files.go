package command

import (
	"os"

	"github.com/ansel1/merry/v2"
)

// The modes of written files: ModePrivate is for private keys.
const (
	ModePublic  os.FileMode = 0o644
	ModePrivate os.FileMode = 0o600
)

// WriteNew writes a new file; it fails if the file exists.
func WriteNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = file.Write(data)
	if err != nil {
		_ = file.Close()
		return merry.Wrap(err)
	}
	return merry.Wrap(file.Close())
}
