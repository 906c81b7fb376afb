package control

import (
	"toucangap/internal/peerpb"
)

// body is any message that an envelope can carry.
type body interface {
	*peerpb.Records | *peerpb.RecordsAck | *peerpb.Loads | *peerpb.LeaseRequest |
		*peerpb.LeaseGrant | *peerpb.Handover | *peerpb.HandoverAck |
		*peerpb.BundleOffer | *peerpb.BundleRequest | *peerpb.BundleData |
		*peerpb.Marks | *peerpb.Batch
}

// envelope wraps a message.
func envelope[T body](m T) *peerpb.Envelope {
	switch m := any(m).(type) {
	case *peerpb.Records:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Records{Records: m}}
	case *peerpb.RecordsAck:
		return &peerpb.Envelope{Body: &peerpb.Envelope_RecordsAck{RecordsAck: m}}
	case *peerpb.Loads:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: m}}
	case *peerpb.LeaseRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_LeaseRequest{LeaseRequest: m}}
	case *peerpb.LeaseGrant:
		return &peerpb.Envelope{Body: &peerpb.Envelope_LeaseGrant{LeaseGrant: m}}
	case *peerpb.Handover:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Handover{Handover: m}}
	case *peerpb.HandoverAck:
		return &peerpb.Envelope{Body: &peerpb.Envelope_HandoverAck{HandoverAck: m}}
	case *peerpb.BundleOffer:
		return &peerpb.Envelope{Body: &peerpb.Envelope_BundleOffer{BundleOffer: m}}
	case *peerpb.BundleRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: m}}
	case *peerpb.BundleData:
		return &peerpb.Envelope{Body: &peerpb.Envelope_BundleData{BundleData: m}}
	case *peerpb.Marks:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Marks{Marks: m}}
	case *peerpb.Batch:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Batch{Batch: m}}
	}
	return nil
}
