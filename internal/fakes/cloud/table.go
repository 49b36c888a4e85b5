package cloud

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// attribute is an attribute value in the API's JSON form. Only strings, numbers
// and binary values can be compared, as the router uses no others in conditions.
type attribute struct {
	S    *string `json:",omitempty"`
	N    *string `json:",omitempty"`
	B    *[]byte `json:",omitempty"`
	BOOL *bool   `json:",omitempty"`
	NULL *bool   `json:",omitempty"`
}

// item is one item's attributes by name.
type item map[string]attribute

// tableData is one table: its key attributes and its items by joined key.
type tableData struct {
	keys  []string
	items map[string]item
}

// keySeparator sorts before any other byte, so that joined keys sort attribute by
// attribute.
const keySeparator = "\x00"

// key joins an item's key attributes to one string. String keys sort as the API
// sorts them.
func (t *tableData) key(i item) string {
	parts := make([]string, 0, len(t.keys))
	for _, name := range t.keys {
		parts = append(parts, scalar(i[name]))
	}
	return strings.Join(parts, keySeparator)
}

// scalar returns a string, number or binary value as a string, "" for other types.
func scalar(a attribute) string {
	switch {
	case a.S != nil:
		return *a.S
	case a.N != nil:
		return *a.N
	case a.B != nil:
		return string(*a.B)
	default:
		return ""
	}
}

type keySchema struct {
	AttributeName string
	KeyType       string
}

// tableCall is the union of the operations' inputs.
type tableCall struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
	ScanIndexForward          *bool
	ReturnValues              string
	KeySchema                 []keySchema
}

// tableAnswer is the union of the operations' outputs.
type tableAnswer struct {
	Item             item              `json:",omitempty"`
	Attributes       item              `json:",omitempty"`
	Items            []item            `json:",omitempty"`
	Count            *int              `json:",omitempty"`
	LastEvaluatedKey item              `json:",omitempty"`
	Table            *tableDescription `json:",omitempty"`
	TableDescription *tableDescription `json:",omitempty"`
}

type tableDescription struct {
	TableName   string
	TableStatus string
	KeySchema   []keySchema
}

// tableFailure is the JSON body of a DynamoDB error.
type tableFailure struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

const (
	targetPrefix  = "DynamoDB_20120810."
	failurePrefix = "com.amazonaws.dynamodb.v20120810#"

	failureCondition  = "ConditionalCheckFailedException"
	failureThroughput = "ProvisionedThroughputExceededException"
	failureValidation = "ValidationException"
	failureNoTable    = "ResourceNotFoundException"
	failureUnknown    = "UnknownOperationException"
	failureInUse      = "ResourceInUseException"
)

// writeTableError writes a DynamoDB error.
func writeTableError(ctx *fasthttp.RequestCtx, failure, message string) {
	reply(ctx, fasthttp.StatusBadRequest, tableFailure{
		Type:    failurePrefix + failure,
		Message: message,
	})
	ctx.SetContentType("application/x-amz-json-1.0")
}

// tableOperation is one operation of the API. Its run returns an output, or an error
// type and message.
type tableOperation struct {
	write bool
	run   func(c *Cloud, in tableCall) (out tableAnswer, failure, message string)
}

var tableOperations = map[string]tableOperation{
	"GetItem":       {false, (*Cloud).getItem},
	"PutItem":       {true, (*Cloud).putItem},
	"DeleteItem":    {true, (*Cloud).deleteItem},
	"Query":         {false, (*Cloud).query},
	"CreateTable":   {true, (*Cloud).createTable},
	"DescribeTable": {false, (*Cloud).describeTable},
}

// serveTable serves one call to the table service.
func (c *Cloud) serveTable(ctx *fasthttp.RequestCtx) {
	name := strings.TrimPrefix(string(ctx.Request.Header.Peek("X-Amz-Target")), targetPrefix)
	operation, ok := tableOperations[name]
	if !ok {
		writeTableError(ctx, failureUnknown, "call "+name+" is not known")
		return
	}
	writeThrottled := func() {
		writeTableError(ctx, failureThroughput, "the rate is limited")
	}
	if !c.beforeCall(ctx, operation.write, writeThrottled) {
		return
	}
	var in tableCall
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeTableError(ctx, failureValidation, err.Error())
		return
	}
	out, failure, message := operation.run(c, in)
	if failure != "" {
		writeTableError(ctx, failure, message)
	} else {
		reply(ctx, fasthttp.StatusOK, out)
		ctx.SetContentType("application/x-amz-json-1.0")
	}
	if operation.write {
		c.afterWrite(ctx)
	}
}

// getOrCreateTable returns a table, which it creates with KeyNames if it does not
// exist. The caller holds the lock.
func (c *Cloud) getOrCreateTable(name string) *tableData {
	t, ok := c.tables[name]
	if !ok {
		t = &tableData{keys: c.KeyNames, items: map[string]item{}}
		c.tables[name] = t
	}
	return t
}

func (c *Cloud) getItem(in tableCall) (out tableAnswer, failure, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.TableReads++
	t := c.getOrCreateTable(in.TableName)
	return tableAnswer{Item: t.items[t.key(in.Key)]}, "", ""
}

func (c *Cloud) putItem(in tableCall) (out tableAnswer, failure, message string) {
	return c.write(in, in.Item, func(t *tableData, key string) { t.items[key] = in.Item })
}

func (c *Cloud) deleteItem(in tableCall) (out tableAnswer, failure, message string) {
	return c.write(in, in.Key, func(t *tableData, key string) { delete(t.items, key) })
}

// write applies a change if the condition holds on the item with this key.
func (c *Cloud) write(
	in tableCall, key item, change func(t *tableData, key string),
) (out tableAnswer, failure, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.TableWrites++
	t := c.getOrCreateTable(in.TableName)
	itemKey := t.key(key)
	holds, err := in.holds(in.ConditionExpression, t.items[itemKey])
	if err != nil {
		return out, failureValidation, err.Error()
	}
	if !holds {
		c.counts.Conflicts++
		return out, failureCondition, "The conditional request failed"
	}
	if in.ReturnValues == "ALL_OLD" {
		out.Attributes = t.items[itemKey]
	}
	change(t, itemKey)
	return out, "", ""
}

// holds reports whether a condition holds on an item; an empty condition does.
func (in tableCall) holds(expression string, i item) (bool, error) {
	if expression == "" {
		return true, nil
	}
	return condition{
		names:  in.ExpressionAttributeNames,
		values: in.ExpressionAttributeValues,
		item:   i,
	}.holds(expression)
}

func (c *Cloud) query(in tableCall) (out tableAnswer, failure, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.TableReads++
	t := c.getOrCreateTable(in.TableName)
	found, err := t.matching(in)
	if err != nil {
		return out, failureValidation, err.Error()
	}
	if in.Limit > 0 && len(found) > in.Limit {
		found = found[:in.Limit]
		out.LastEvaluatedKey = item{}
		for _, name := range t.keys {
			out.LastEvaluatedKey[name] = found[in.Limit-1][name]
		}
	}
	count := len(found)
	out.Items = found
	out.Count = &count
	return out, "", ""
}

// matching returns the items that match a query's key condition, in the query's
// order, after its start key.
func (t *tableData) matching(in tableCall) ([]item, error) {
	sign := 1
	if in.ScanIndexForward != nil && !*in.ScanIndexForward {
		sign = -1
	}
	start := t.key(in.ExclusiveStartKey)
	var found []item
	for key, i := range t.items {
		holds, err := in.holds(in.KeyConditionExpression, i)
		if err != nil {
			return nil, err
		}
		if holds && (in.ExclusiveStartKey == nil || sign*cmp.Compare(key, start) > 0) {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return sign * cmp.Compare(t.key(a), t.key(b)) })
	return found, nil
}

func (c *Cloud) createTable(in tableCall) (out tableAnswer, failure, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.tables[in.TableName]; ok {
		return out, failureInUse, "Table already exists: " + in.TableName
	}
	t := &tableData{items: map[string]item{}}
	for _, k := range in.KeySchema {
		t.keys = append(t.keys, k.AttributeName)
	}
	c.tables[in.TableName] = t
	out.TableDescription = t.describe(in.TableName)
	return out, "", ""
}

func (c *Cloud) describeTable(in tableCall) (out tableAnswer, failure, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.tables[in.TableName]
	if !ok {
		return out, failureNoTable, "Table not found: " + in.TableName
	}
	out.Table = t.describe(in.TableName)
	return out, "", ""
}

var keyTypes = []string{"HASH", "RANGE"}

func (t *tableData) describe(name string) *tableDescription {
	d := &tableDescription{TableName: name, TableStatus: "ACTIVE"}
	for i, k := range t.keys {
		d.KeySchema = append(d.KeySchema, keySchema{AttributeName: k, KeyType: keyTypes[min(i, 1)]})
	}
	return d
}
