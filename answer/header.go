package answer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the hop-by-hop header fields (RFC 9110, section 7.6.1), and the fields that net/http sets itself for the framing.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of the header without hop-by-hop fields.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	if endToEnd == nil {
		return http.Header{}
	}
	RemoveHopByHop(endToEnd)
	return endToEnd
}

// RemoveHopByHop removes hop-by-hop fields from the header, including those listed in Connection.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(header, name)
	}
}
