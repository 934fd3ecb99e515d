package scenario

import (
	"bufio"
	"bytes"
	"net/textproto"
	"strconv"
)

// maxHeadBytes is the maximum size of a head. A longer, still incomplete head counts as corrupt.
const maxHeadBytes = 1 << 16

// headEnd ends the head of an HTTP/1.1 message.
var headEnd = []byte("\r\n\r\n")

// headParser finds the heads of the messages in one direction of an HTTP/1.1 connection. Bodies must have a Content-Length,
// which the proxies and fake servers always send. The zero value is ready for a new connection.
type headParser struct {
	buffer    []byte
	bodyBytes int  // number of bytes of the current body that are not received yet
	corrupt   bool // parsing failed, and further bytes are ignored
}

// feed parses further bytes. For each head that these bytes complete, feed calls the function found with the head's first line
// and header.
func (p *headParser) feed(data []byte, found func(firstLine string, header textproto.MIMEHeader)) {
	if p.corrupt {
		return
	}
	p.buffer = append(p.buffer, data...)
	for len(p.buffer) > 0 {
		p.skipBody()
		end := bytes.Index(p.buffer, headEnd)
		if p.bodyBytes > 0 || end < 0 {
			p.corrupt = len(p.buffer) > maxHeadBytes
			return
		}
		end += len(headEnd)
		firstLine, header, err := parseHead(p.buffer[:end])
		p.buffer = p.buffer[end:]
		if err != nil || header.Get("Transfer-Encoding") != "" {
			p.corrupt = true
			return
		}
		p.bodyBytes, _ = strconv.Atoi(header.Get("Content-Length")) // a message without Content-Length has no body
		found(firstLine, header)
	}
}

// skipBody discards the buffered bytes of the current body.
func (p *headParser) skipBody() {
	count := min(p.bodyBytes, len(p.buffer))
	p.buffer = p.buffer[count:]
	p.bodyBytes -= count
}

// parseHead parses a complete head.
func parseHead(head []byte) (firstLine string, header textproto.MIMEHeader, err error) {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	firstLine, err = reader.ReadLine()
	if err != nil {
		return "", nil, err
	}
	header, err = reader.ReadMIMEHeader()
	return firstLine, header, err
}
