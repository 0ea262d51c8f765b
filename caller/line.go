package caller

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

// lineBufBytes is the size of the buffer for an endpoint's stream; longer lines take memory of their own.
const lineBufBytes = 4 << 10

// lineReaders keeps the buffers of streams that have ended.
var lineReaders = sync.Pool{New: func() any {
	return &lineReader{reader: bufio.NewReaderSize(nil, lineBufBytes)}
}}

// lineReader reads a stream by lines.
type lineReader struct {
	reader   *bufio.Reader
	long     []byte // a line that does not fit into the buffer
	id, data []byte // of the event that is being read
}

func (l *lineReader) reset(body io.Reader) { l.reader.Reset(body) }

// release makes the buffers available to another stream, except large ones.
func (l *lineReader) release() {
	l.reader.Reset(nil)
	if cap(l.long) > lineBufBytes || cap(l.data) > lineBufBytes {
		l.long, l.data = nil, nil
	}
	lineReaders.Put(l)
}

// ready reports whether the next line can be read without waiting for the endpoint.
func (l *lineReader) ready() bool {
	buffered, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}

// next returns the next line without its end; it is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		l.long = l.long[:0]
		for err == bufio.ErrBufferFull {
			if len(l.long)+len(line) > maxEventBytes {
				return nil, bufio.ErrTooLong
			}
			l.long = append(l.long, line...)
			line, err = l.reader.ReadSlice('\n')
		}
		l.long = append(l.long, line...)
		line = l.long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
