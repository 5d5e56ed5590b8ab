package member

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

// unknownOID is the OID of a parameter or column of unspecified type.
const unknownOID = 0

// value is a value in text form, or NULL.
type value struct {
	text string
	null bool
}

// textPointer returns the text, or nil for NULL.
func (v value) textPointer() *string {
	if v.null {
		return nil
	}
	return &v.text
}

// typeOID returns the OID of a type name; unknown names count as text.
func typeOID(name string) uint32 {
	oids := map[string]uint32{
		"int4":   pgtype.Int4OID,
		"int8":   pgtype.Int8OID,
		"float8": pgtype.Float8OID,
		"text":   pgtype.TextOID,
	}
	if oid, ok := oids[name]; ok {
		return oid
	}
	return pgtype.TextOID
}

// oid returns the OID of the key column; unknownOID for KeyAny.
func (k KeyType) oid() uint32 {
	oids := map[KeyType]uint32{KeyBigint: pgtype.Int8OID, KeyText: pgtype.TextOID}
	return oids[k]
}

// parameterOIDs returns the type of each parameter: the type that Parse declares,
// or else the type inferred from the statement.
func parameterOIDs(s *sqlsubset.Statement, declared []uint32, key KeyType) []uint32 {
	oids := append([]uint32(nil), declared...)
	for _, o := range s.Operands() {
		for len(oids) < o.Param {
			oids = append(oids, unknownOID)
		}
		if o.Param > 0 && oids[o.Param-1] == unknownOID {
			oids[o.Param-1] = typeOID(o.Type)
		}
	}
	for _, o := range keyOperands(s) {
		if o.Param > 0 && o.Type == "" && (o.Param > len(declared) || declared[o.Param-1] == unknownOID) {
			oids[o.Param-1] = key.oid()
		}
	}
	return oids
}

// keyOperands returns the operands that are compared with or inserted as the key.
func keyOperands(s *sqlsubset.Statement) []sqlsubset.Operand {
	var operands []sqlsubset.Operand
	for _, r := range s.Rows {
		operands = append(operands, r.ID)
	}
	if s.ID != nil {
		operands = append(operands, *s.ID)
	}
	return operands
}

// decodeParameter converts a bound parameter in text or binary format to its text
// form.
func decodeParameter(raw []byte, format int16, oid uint32) (value, *SQLError) {
	if raw == nil {
		return value{null: true}, nil
	}
	if format == pgproto3.TextFormat {
		return value{text: string(raw)}, nil
	}
	switch oid {
	case pgtype.Int4OID:
		if len(raw) == 4 {
			return value{text: strconv.Itoa(int(int32(binary.BigEndian.Uint32(raw))))}, nil
		}
	case pgtype.Int8OID:
		if len(raw) == 8 {
			return value{text: strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)}, nil
		}
	case pgtype.Float8OID:
		if len(raw) == 8 {
			bits := math.Float64frombits(binary.BigEndian.Uint64(raw))
			return value{text: strconv.FormatFloat(bits, 'g', -1, 64)}, nil
		}
	default:
		return value{text: string(raw)}, nil
	}
	return value{}, &SQLError{Code: codeProtocol, Message: "incorrect binary data format in bind parameter"}
}

// encodeValue encodes a column value in text or binary format; NULL is nil.
func encodeValue(v value, oid uint32, format int16) []byte {
	if v.null {
		return nil
	}
	if format == pgproto3.TextFormat {
		return append([]byte{}, v.text...)
	}
	n, err := strconv.ParseInt(v.text, 10, 64)
	switch {
	case err == nil && oid == pgtype.Int4OID:
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case err == nil && oid == pgtype.Int8OID:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oid == pgtype.Float8OID:
		f, _ := strconv.ParseFloat(v.text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	}
	return append([]byte{}, v.text...)
}

// formatCode returns the format of item i. Without format codes all items are
// text, and a single code holds for all items.
func formatCode(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgproto3.TextFormat
}
