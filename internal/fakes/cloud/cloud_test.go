package cloud_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/plat/disco"
)

func start(c *qt.C) *cloud.Cloud {
	p := &cloud.Cloud{}
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Stop)
	return p
}

func testCredentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider("key", "secret", "")
}

func tableClient(p *cloud.Cloud) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region:       "local",
		BaseEndpoint: aws.String("http://" + p.Address()),
		Credentials:  testCredentials(),
		Retryer:      aws.NopRetryer{},
	})
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func textOf(v types.AttributeValue) string { return v.(*types.AttributeValueMemberS).Value }

func key(name string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{"Kind": text("Claim"), "Name": text(name)}
}

// put writes an item under a condition on the token: #t = :t with expected, or, if
// expected is empty, one that uses only #n.
func put(client *dynamodb.Client, name, token, condition string, expected string) error {
	item := key(name)
	item["Token"] = text(token)
	in := &dynamodb.PutItemInput{
		TableName:           aws.String("records"),
		Item:                item,
		ConditionExpression: aws.String(condition),
	}
	if expected == "" {
		in.ExpressionAttributeNames = map[string]string{"#n": "Name"}
	} else {
		in.ExpressionAttributeNames = map[string]string{"#t": "Token"}
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":t": text(expected)}
	}
	_, err := client.PutItem(context.Background(), in)
	return err
}

const (
	ifAbsent = "attribute_not_exists(#n)"
	ifToken  = "#t = :t"
)

func TestWriteFailsUnlessConditionHolds(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	client := tableClient(p)
	var failed *types.ConditionalCheckFailedException

	c.Assert(put(client, "a", "1", ifAbsent, ""), qt.IsNil)
	c.Assert(errors.As(put(client, "a", "2", ifAbsent, ""), &failed), qt.IsTrue)
	c.Assert(errors.As(put(client, "a", "2", ifToken, "9"), &failed), qt.IsTrue)
	c.Assert(put(client, "a", "2", ifToken, "1"), qt.IsNil)
	out, err := client.GetItem(context.Background(), &dynamodb.GetItemInput{
		TableName: aws.String("records"),
		Key:       key("a"),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(textOf(out.Item["Token"]), qt.Equals, "2")
	c.Assert(p.Counts(), qt.Equals, cloud.Counts{TableReads: 1, TableWrites: 4, Conflicts: 2})
}

func TestQueryReturnsPagesInKeyOrder(t *testing.T) {
	c := qt.New(t)
	client := tableClient(start(c))
	for _, name := range []string{"c", "a", "b"} {
		c.Assert(put(client, name, "1", ifAbsent, ""), qt.IsNil)
	}
	in := &dynamodb.QueryInput{
		TableName:                 aws.String("records"),
		KeyConditionExpression:    aws.String("#k = :k AND #n > :n"),
		ExpressionAttributeNames:  map[string]string{"#k": "Kind", "#n": "Name"},
		ExpressionAttributeValues: map[string]types.AttributeValue{":k": text("Claim"), ":n": text("a")},
		Limit:                     aws.Int32(1),
	}
	var names []string
	for {
		out, err := client.Query(context.Background(), in)
		c.Assert(err, qt.IsNil)
		for _, i := range out.Items {
			names = append(names, textOf(i["Name"]))
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	c.Assert(names, qt.DeepEquals, []string{"b", "c"})
}

func TestTableFaultsAreInjected(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	client := tableClient(p)
	var failed *types.ConditionalCheckFailedException
	var throttled *types.ProvisionedThroughputExceededException

	p.SetFaults(cloud.Faults{LoseAnswersAfterWrite: 1})
	c.Assert(put(client, "a", "1", ifAbsent, ""), qt.IsNotNil)
	c.Assert(errors.As(put(client, "a", "1", ifAbsent, ""), &failed), qt.IsTrue,
		qt.Commentf("the write whose response was lost took effect"))
	p.SetFaults(cloud.Faults{LoseRequestsBeforeWrite: 1})
	c.Assert(put(client, "b", "1", ifAbsent, ""), qt.IsNotNil)
	c.Assert(put(client, "b", "1", ifAbsent, ""), qt.IsNil)
	p.SetFaults(cloud.Faults{Throttle: true})
	c.Assert(errors.As(put(client, "c", "1", ifAbsent, ""), &throttled), qt.IsTrue)
	p.SetFaults(cloud.Faults{Down: true})
	c.Assert(put(client, "c", "1", ifAbsent, ""), qt.IsNotNil)
	p.SetFaults(cloud.Faults{})
	c.Assert(put(client, "c", "1", ifAbsent, ""), qt.IsNil)
}

func TestObjectIsStoredAndDeleted(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	client := s3.New(s3.Options{
		Region:       "local",
		BaseEndpoint: aws.String("http://" + p.Address()),
		Credentials:  testCredentials(),
		Retryer:      aws.NopRetryer{},
		UsePathStyle: true,
	})
	ctx := context.Background()
	bucket, name := aws.String("bodies"), aws.String("abc")
	body := bytes.Repeat([]byte("body "), 1000)

	_, err := client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: bucket, Key: name, Body: bytes.NewReader(body),
	})
	c.Assert(err, qt.IsNil)
	out, err := client.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: name})
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(out.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, body)
	_, err = client.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: name})
	c.Assert(err, qt.IsNil)
	_, err = client.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: name})
	c.Assert(err, qt.ErrorMatches, "(?s).*NoSuchKey.*")
}

func TestListOfMachinesReplacesAndRemovesEntries(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	e := disco.Entry{Name: "canvas-llm-1", Kind: disco.KindBackendServer, State: disco.StateLive}
	p.SetEntry(e)
	e.State = disco.StateLeaving
	p.SetEntry(e)
	c.Assert(p.Entries(), qt.DeepEquals, []disco.Entry{e})
	p.RemoveEntry(e.Name)
	c.Assert(p.Entries(), qt.HasLen, 0)
}
