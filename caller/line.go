package caller

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

// lineBufferBytes is the size of the read buffer for an endpoint's stream; longer lines are copied to a buffer of their own.
const lineBufferBytes = 4 << 10

// lineReaders holds line readers for reuse by later streams.
var lineReaders = sync.Pool{New: func() any {
	return &lineReader{reader: bufio.NewReaderSize(nil, lineBufferBytes)}
}}

// lineReader reads a stream line by line.
type lineReader struct {
	reader   *bufio.Reader
	longLine []byte // holds a line that does not fit into the reader's buffer
	id, data []byte // buffers for the fields of the current event
}

func (l *lineReader) reset(body io.Reader) { l.reader.Reset(body) }

// release returns the reader to the pool; buffers above lineBufferBytes are dropped.
func (l *lineReader) release() {
	l.reader.Reset(nil)
	if cap(l.longLine) > lineBufferBytes || cap(l.data) > lineBufferBytes {
		l.longLine, l.data = nil, nil
	}
	lineReaders.Put(l)
}

// hasBufferedLine reports whether a complete line is buffered, so that next does not wait for the endpoint.
func (l *lineReader) hasBufferedLine() bool {
	buffered, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}

// next returns the next line without its line break. The slice is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		l.longLine = l.longLine[:0]
		for err == bufio.ErrBufferFull {
			if len(l.longLine)+len(line) > maxEventBytes {
				return nil, bufio.ErrTooLong
			}
			l.longLine = append(l.longLine, line...)
			line, err = l.reader.ReadSlice('\n')
		}
		l.longLine = append(l.longLine, line...)
		line = l.longLine
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
