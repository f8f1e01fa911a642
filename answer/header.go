package answer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that concern one connection only (RFC 9110, section 7.6.1), and those by which net/http sets
// the framing itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of the header without the fields that concern one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		return http.Header{}
	}
	RemoveHopByHop(kept)
	return kept
}

// RemoveHopByHop removes the fields that concern one connection only.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}
