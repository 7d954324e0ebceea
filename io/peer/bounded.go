package peer

import (
	"net"
	"time"
)

// limitedConn sets a deadline for each read and each write, and reports the bytes read to the bulk limiter.
type limitedConn struct {
	net.Conn
	// idle limits the time that a read may wait.
	idle    time.Duration
	limiter *bulkLimiter
}

func (conn limitedConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(conn.idle)); err != nil {
		return 0, err
	}
	size, err := conn.Conn.Read(buffer)
	if err != nil {
		return size, err
	}
	return size, conn.limiter.addRead(size)
}

func (conn limitedConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}
