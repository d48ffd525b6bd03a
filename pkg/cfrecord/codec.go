package cfrecord

import (
	"github.com/fxamacker/cbor/v2"

	"cranberryford/pkg/cferror"
)

// Kind classifies the errors of this package.
type Kind string

// NewCodec and the methods of Codec return errors of these kinds.
const (
	// KindEncode marks a value that cannot be encoded.
	KindEncode Kind = "cannot encode"
	// KindDecode marks data that cannot be decoded into the given type.
	KindDecode Kind = "cannot decode"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Codec encodes and decodes values in CBOR. The encoding is deterministic.
type Codec struct {
	enc     cbor.EncMode
	dec     cbor.DecMode
	bounded cbor.DecMode
}

// Limits of UnmarshalBounded. A list element of one byte can need a few hundred bytes in
// memory.
const (
	// MaxListElements is the maximum number of elements of a list.
	MaxListElements = 1 << 14
	// MaxMapPairs is the maximum number of entries of a map.
	MaxMapPairs = 1 << 17
)

// NewCodec returns a codec. Times are encoded with nanoseconds, in UTC.
func NewCodec() (*Codec, error) {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	enc, err := opts.EncMode()
	if err != nil {
		return nil, cferror.Wrap("set up CBOR encoding", KindEncode, err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 22, MaxMapPairs: 1 << 22}.DecMode()
	if err != nil {
		return nil, cferror.Wrap("set up CBOR decoding", KindDecode, err)
	}
	bounded, err := cbor.DecOptions{MaxArrayElements: MaxListElements, MaxMapPairs: MaxMapPairs}.DecMode()
	if err != nil {
		return nil, cferror.Wrap("set up CBOR decoding", KindDecode, err)
	}
	return &Codec{enc: enc, dec: dec, bounded: bounded}, nil
}

// Marshal encodes v.
func (c *Codec) Marshal(v any) ([]byte, error) {
	data, err := c.enc.Marshal(v)
	return data, cferror.Wrap("marshal", KindEncode, err)
}

// Unmarshal decodes data into v.
func (c *Codec) Unmarshal(data []byte, v any) error {
	return cferror.Wrap("read CBOR data", KindDecode, c.dec.Unmarshal(data, v))
}

// UnmarshalBounded decodes data into v. It rejects lists and maps that are too long for a
// single record.
func (c *Codec) UnmarshalBounded(data []byte, v any) error {
	return cferror.Wrap("read CBOR data", KindDecode, c.bounded.Unmarshal(data, v))
}
