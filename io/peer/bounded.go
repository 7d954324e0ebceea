package peer

import (
	"net"
	"time"
)

// boundedConn sets a deadline for each read and each write, and reports the bytes read to the bulk limiter.
type boundedConn struct {
	net.Conn
	// idle limits the time that a read may wait.
	idle    time.Duration
	limiter *bulkLimiter
}

func (conn boundedConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(conn.idle)); err != nil {
		return 0, err
	}
	size, err := conn.Conn.Read(buffer)
	if err != nil {
		return size, err
	}
	return size, conn.limiter.addRead(size)
}

func (conn boundedConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}
