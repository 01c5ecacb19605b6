package ingress

import (
	"net/http"
	"strings"
)

// checkSyntax checks the head of a request. It returns the target in origin form, or the rejection.
func checkSyntax(r *http.Request, maxHeaderBytes int64) (target string, rejected *rejection) {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return "", &rejection{reason: reasonUnsupportedVersion}
	case r.Method == http.MethodConnect:
		return "", &rejection{reason: reasonUnsupportedMethod}
	case len(r.TransferEncoding) > 0 && connectionOf(r).hadContentLength():
		return "", &rejection{reason: reasonAmbiguousLength}
	case headBytes(r) > maxHeaderBytes:
		return "", &rejection{reason: reasonHeadTooLarge}
	}
	target, ok := originForm(r.RequestURI)
	if !ok {
		return "", &rejection{reason: reasonInvalidTarget}
	}
	return target, nil
}

// headBytes returns about the size of the request's head. net/http bounds what it reads of a head, but only to the limit
// and some 4 KiB more.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// originForm returns the path with its query, byte by byte as the client sent it, of a request target in origin or
// absolute form (RFC 9112, section 3.2). It returns false for the other forms.
func originForm(requestURI string) (string, bool) {
	if strings.HasPrefix(requestURI, "/") {
		return requestURI, true
	}
	_, rest, ok := strings.Cut(requestURI, "://")
	if !ok {
		return "", false
	}
	slash := strings.IndexAny(rest, "/?")
	switch {
	case slash < 0:
		return "/", true
	case rest[slash] == '?':
		return "/" + rest[slash:], true
	}
	return rest[slash:], true
}
