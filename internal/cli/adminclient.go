package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"sandyard/coreid"
	"sandyard/internal/http1"
)

// queryAdmin sends a GET request to a gateway's admin socket and decodes the JSON response into a value. It returns a
// coreid.Mismatch if the gateway has another core identity, and the gateway's error text if the status is not 200.
func queryAdmin(socket, path string, into any) error {
	c, err := net.DialTimeout("unix", socket, 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: admin\r\n\r\n", path); err != nil {
		return err
	}
	responses := http1.NewResponses(http1.Limits{})
	responses.Expect("GET")
	text, err := io.ReadAll(io.LimitReader(c, 1<<20))
	if err != nil {
		return err
	}
	var head *http1.Head
	var body []byte
	for {
		used, part, err := responses.Feed(text)
		text = text[used:]
		if err != nil {
			return err
		}
		switch part.Kind {
		case http1.More:
			return errors.New("the front door's response is truncated")
		case http1.HeadEnd:
			head = part.Head
			core, _ := head.Get("Sandyard-Core")
			if err := coreid.Check(core, "the running front door"); err != nil {
				return err
			}
		case http1.Data:
			body = append(body, part.Data...)
		case http1.End:
			if head.Status != 200 {
				var e struct{ Error string }
				json.Unmarshal(body, &e)
				return fmt.Errorf("the front door reports an error: %s", e.Error)
			}
			return json.Unmarshal(body, into)
		}
	}
}
