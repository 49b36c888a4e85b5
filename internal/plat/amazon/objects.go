package amazon

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"siskinsaddle/internal/plat/object"
)

// maxObjectBytes is the maximum number of bytes read from one object.
const maxObjectBytes = 64 << 20

// NewObjects returns an object store backed by the S3 API. It uses path-style URLs.
func NewObjects(s Settings) object.Store {
	b := &bucket{
		name: aws.String(s.Bucket),
		api: s3.New(s3.Options{
			BaseEndpoint:               aws.String(s.ObjectEndpoint),
			Region:                     s.Region,
			Credentials:                s.credentials(),
			HTTPClient:                 s.client(),
			Retryer:                    aws.NopRetryer{},
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}
	return object.Store{Put: b.put, Get: b.get, Delete: b.remove}
}

type bucket struct {
	name *string
	api  *s3.Client
}

func (b *bucket) put(ctx context.Context, name string, body []byte) error {
	_, err := b.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket: b.name,
		Key:    aws.String(name),
		Body:   bytes.NewReader(body),
	})
	return objectError(err)
}

// get reads a body and verifies it against its name, which is its SHA-256; the
// service's own checksums are not requested.
func (b *bucket) get(ctx context.Context, name string) ([]byte, error) {
	out, err := b.api.GetObject(ctx, &s3.GetObjectInput{Bucket: b.name, Key: aws.String(name)})
	if err != nil {
		return nil, objectError(err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes))
	if err != nil {
		return nil, objectError(err)
	}
	if object.Name(body) != name {
		return nil, object.ErrCorrupt
	}
	return body, nil
}

func (b *bucket) remove(ctx context.Context, name string) error {
	_, err := b.api.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: b.name, Key: aws.String(name)})
	return objectError(err)
}
