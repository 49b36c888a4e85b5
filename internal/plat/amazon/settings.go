// Package amazon implements table.Store on the DynamoDB API and object.Store on
// the S3 API, through the AWS SDK.
//
// The SDK's retries are disabled: a conditional write that is retried after its
// first response was lost fails with a conflict against itself. Every error is
// mapped to one of the errors of table.Store and object.Store, by whether bytes of
// the request can have reached the service:
//
//	no connection was made            ErrUnavailable
//	the condition did not hold        ErrConflict
//	the service throttled the request ErrThrottled
//	the service rejected the write    ErrUnavailable
//	anything else, for a write        ErrOutcomeUnknown
//	anything else, for a read         ErrUnavailable
//
// # Usage
//
//	s := amazon.Settings{
//		TableEndpoint:  "http://127.0.0.1:7301",
//		ObjectEndpoint: "http://127.0.0.1:7302",
//		Region:         "local",
//		AccessKey:      "key",
//		SecretKey:      "secret",
//		Table:          "siskinsaddle",
//		Bucket:         "siskinsaddle",
//		DialTimeout:    500,
//		Timeout:        2_000,
//	}
//	records := amazon.NewTable(s)
//	bodies := amazon.NewObjects(s)
package amazon

import (
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/reply"
)

// Settings holds the endpoints, credentials and timeouts of the platform's stores.
type Settings struct {
	// TableEndpoint and ObjectEndpoint are the URLs of the DynamoDB API and of
	// the S3 API.
	TableEndpoint  string
	ObjectEndpoint string
	Region         string
	AccessKey      string
	SecretKey      string
	// Table has the partition key Kind and the sort key Name, both strings.
	Table  string
	Bucket string
	// DialTimeout bounds the opening of a connection, Timeout a whole request,
	// both in milliseconds.
	DialTimeout clock.Millis
	Timeout     clock.Millis
	// Faults reports broken responses; it may be nil.
	Faults *reply.Faults
}

func (s Settings) credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(s.AccessKey, s.SecretKey, "")
}

func (s Settings) client() *client {
	return newClient(s.DialTimeout, s.Timeout, s.Faults)
}
