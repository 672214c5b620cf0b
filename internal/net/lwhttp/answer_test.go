package lwhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// exchange sends requests on a connection of its own and checks each answer.
func exchange(address string, requests int, request func(i int) (sent, want string)) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := range requests {
		sent, want := request(i)
		_ = c.SetDeadline(time.Now().Add(waitLimit))
		if _, err := io.WriteString(c, sent); err != nil {
			return err
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		got, err := io.ReadAll(res.Body)
		if err != nil {
			return err
		}
		if string(got) != want {
			return fmt.Errorf("request %d: %d bytes, %.20q, want %d bytes, %.20q", i, len(got), got, len(want), want)
		}
	}
	return nil
}

// Guards against an answer that holds bytes of another one: nbhttp frees the buffer of a chunked answer
// of 64 KiB and more before its last use, and again after it.
func TestLargeAnswersShareNoBuffer(t *testing.T) {
	const callers, requests, parts, partBytes = 8, 100, 8, 24 << 10
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			for range parts {
				_, _ = io.WriteString(w, strings.Repeat(r.URL.Path[1:], partBytes))
			}
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})})
	var wg sync.WaitGroup
	errs := make(chan error, 2*callers)
	for i := range callers {
		letter := string(rune('a' + i))
		wg.Go(func() {
			errs <- exchange(s.Address(), requests, func(int) (sent, want string) {
				return "GET /" + letter + " HTTP/1.1\r\n\r\n", strings.Repeat(letter, parts*partBytes)
			})
		})
		wg.Go(func() {
			errs <- exchange(s.Address(), 20*requests, func(i int) (sent, want string) {
				want = fmt.Sprintf("%s%d", letter, i)
				return fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(want), want), want
			})
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.New(t).NoErr(err)
	}
}

// Guards against an answer that is cut off because more bytes are reported as written than the handler
// wrote: nbhttp reports what it sends at that moment, with what it had buffered.
func TestWriteReportsWhatTheHandlerWrote(t *testing.T) {
	const total, part = 1 << 20, 32 << 10
	wrong := make(chan int, total/part)
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(total))
		if r.URL.Path == "/copied" {
			_, _ = io.Copy(w, strings.NewReader(strings.Repeat("x", total)))
			return
		}
		for range total / part {
			if n, err := io.WriteString(w, strings.Repeat("x", part)); n != part || err != nil {
				wrong <- n
			}
		}
	})})
	for _, path := range []string{"/written", "/copied"} {
		is.New(t).NoErr(exchange(s.Address(), 3, func(int) (sent, want string) {
			return "GET " + path + " HTTP/1.1\r\n\r\n", strings.Repeat("x", total)
		}))
	}
	close(wrong)
	for n := range wrong {
		t.Errorf("%d bytes are reported as written, of %d", n, part)
	}
}
