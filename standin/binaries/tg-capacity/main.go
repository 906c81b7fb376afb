// Command tg-capacity prints the measurements behind docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"runtime"
	"strings"

	"toucangap/standin/capacity"
)

func main() {
	only := flag.String("only", "", "comma-separated `sections` to measure; empty means all")
	cores := flag.Int("cores", 2, "value of GOMAXPROCS")
	flag.Parse()
	runtime.GOMAXPROCS(*cores)
	if err := run(os.Stdout, *only); err != nil {
		log.Fatal(err)
	}
}

// run runs the selected measurements one after another.
func run(w io.Writer, only string) error {
	if _, err := fmt.Fprintf(w, "tg-capacity %s %s/%s\n\n", runtime.Version(), runtime.GOOS, runtime.GOARCH); err != nil {
		return err
	}
	for _, m := range capacity.Measurements() {
		if only != "" && !strings.Contains(","+only+",", ","+m.Name+",") {
			continue
		}
		s, err := m.Run()
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		if err := s.Print(w); err != nil {
			return err
		}
	}
	return nil
}
