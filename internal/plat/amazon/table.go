package amazon

import (
	"context"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/table"
)

// Attributes of an item. ExpirySeconds is ExpiresAt in seconds, as the service's
// time to live (TTL) requires.
const (
	attributeKind    = "Kind"
	attributeName    = "Name"
	attributeToken   = "Token"
	attributeBody    = "Body"
	attributeExpires = "ExpiresAt"
	attributeSeconds = "ExpirySeconds"
)

// Expressions use placeholders, since Name and Token are reserved words of the
// service.
const (
	conditionAbsent = "attribute_not_exists(#k)"
	conditionToken  = "#t = :t"
	queryKind       = "#k = :k"
	queryKindAfter  = "#k = :k AND #n > :n"
)

// NewTable returns a table store backed by the DynamoDB API.
func NewTable(s Settings) table.Store {
	d := &dynamo{
		table: aws.String(s.Table),
		api: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(s.TableEndpoint),
			Region:       s.Region,
			Credentials:  s.credentials(),
			HTTPClient:   s.client(),
			Retryer:      aws.NopRetryer{},
		}),
	}
	return table.Store{Get: d.get, Put: d.put, Delete: d.remove, List: d.list}
}

type dynamo struct {
	table *string
	api   *dynamodb.Client
}

type item = map[string]types.AttributeValue

func (d *dynamo) get(ctx context.Context, kind, name string) (table.Record, error) {
	out, err := d.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      d.table,
		Key:            keyOf(kind, name),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return table.Record{}, readError(err)
	}
	if len(out.Item) == 0 {
		return table.Record{}, table.ErrNotFound
	}
	return recordOf(out.Item)
}

func (d *dynamo) put(ctx context.Context, r table.Record, c table.Condition) error {
	expression, names, values := conditionOf(c)
	_, err := d.api.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 d.table,
		Item:                      itemOf(r),
		ConditionExpression:       expression,
		ExpressionAttributeNames:  names,
		ExpressionAttributeValues: values,
	})
	return writeError(err)
}

func (d *dynamo) remove(ctx context.Context, kind, name string, c table.Condition) error {
	expression, names, values := conditionOf(c)
	_, err := d.api.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName:                 d.table,
		Key:                       keyOf(kind, name),
		ConditionExpression:       expression,
		ExpressionAttributeNames:  names,
		ExpressionAttributeValues: values,
	})
	return writeError(err)
}

func (d *dynamo) list(ctx context.Context, kind, after string, limit int) (table.Page, error) {
	in := &dynamodb.QueryInput{
		TableName:                 d.table,
		ConsistentRead:            aws.Bool(true),
		Limit:                     aws.Int32(int32(limit)),
		KeyConditionExpression:    aws.String(queryKind),
		ExpressionAttributeNames:  map[string]string{"#k": attributeKind},
		ExpressionAttributeValues: item{":k": text(kind)},
	}
	// The service rejects an empty string as a key value.
	if after != "" {
		in.KeyConditionExpression = aws.String(queryKindAfter)
		in.ExpressionAttributeNames["#n"] = attributeName
		in.ExpressionAttributeValues[":n"] = text(after)
	}
	out, err := d.api.Query(ctx, in)
	if err != nil {
		return table.Page{}, readError(err)
	}
	var page table.Page
	for _, i := range out.Items {
		r, err := recordOf(i)
		if err != nil {
			return table.Page{}, err
		}
		page.Records = append(page.Records, r)
	}
	if name, ok := out.LastEvaluatedKey[attributeName].(*types.AttributeValueMemberS); ok {
		page.Next = name.Value
	}
	return page, nil
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func keyOf(kind, name string) item {
	return item{attributeKind: text(kind), attributeName: text(name)}
}

func itemOf(r table.Record) item {
	i := keyOf(r.Kind, r.Name)
	i[attributeToken] = text(r.Token)
	i[attributeBody] = &types.AttributeValueMemberB{Value: r.Body}
	if r.ExpiresAt > 0 {
		i[attributeExpires] = number(int64(r.ExpiresAt))
		i[attributeSeconds] = number(int64(r.ExpiresAt/clock.Second) + 1)
	}
	return i
}

func recordOf(i item) (table.Record, error) {
	kind, kindOK := i[attributeKind].(*types.AttributeValueMemberS)
	name, nameOK := i[attributeName].(*types.AttributeValueMemberS)
	token, tokenOK := i[attributeToken].(*types.AttributeValueMemberS)
	if !kindOK || !nameOK || !tokenOK {
		return table.Record{}, errors.Newf("a table item lacks the attribute %s, %s or %s", attributeKind, attributeName, attributeToken)
	}
	r := table.Record{Kind: kind.Value, Name: name.Value, Token: token.Value}
	if body, ok := i[attributeBody].(*types.AttributeValueMemberB); ok {
		r.Body = body.Value
	}
	if at, ok := i[attributeExpires].(*types.AttributeValueMemberN); ok {
		ms, err := strconv.ParseInt(at.Value, 10, 64)
		if err != nil {
			return table.Record{}, errors.Wrapf(err, "record %s %q: %s", r.Kind, r.Name, attributeExpires)
		}
		r.ExpiresAt = clock.Millis(ms)
	}
	return r, nil
}

// conditionOf translates a condition to an expression with its names and values.
// All three are nil for the condition that always holds.
func conditionOf(c table.Condition) (*string, map[string]string, item) {
	switch {
	case c.Absent:
		return aws.String(conditionAbsent), map[string]string{"#k": attributeKind}, nil
	case c.Token != "":
		return aws.String(conditionToken), map[string]string{"#t": attributeToken}, item{":t": text(c.Token)}
	default:
		return nil, nil, nil
	}
}
