package cfjobagent

import (
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

func TestAgentContinuesOnAnotherLinkToThePlanner(t *testing.T) {
	orders := func(l *link, epoch cfcore.Epoch) messageReceived {
		return messageReceived{link: l, message: &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: epoch}}}
	}
	first, second, older := &link{}, &link{}, &link{}
	for _, c := range []struct {
		name   string
		events []event
		want   *link
	}{
		{"the link in use ends", []event{orders(first, 2), orders(second, 2), linkDown{link: second}}, first},
		{"another link ends", []event{orders(first, 2), orders(second, 2), linkDown{link: first}}, second},
		{"all links end", []event{orders(first, 2), orders(second, 2), linkDown{link: first}, linkDown{link: second}}, nil},
		{"the other link is to an older planner", []event{orders(older, 1), orders(first, 2), linkDown{link: first}}, nil},
		{"the planner has resigned", []event{
			orders(first, 2), orders(second, 2),
			messageReceived{link: first, message: &cfwire.Message{JobEntries: &cfwire.JobEntries{Epoch: 2, Resigned: true}}},
			linkDown{link: second},
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, _ := newTestControl()
			for _, ev := range c.events {
				a.reportAll = false
				a.handleEvent(t.Context(), ev)
			}
			// The links have no fields that differ, so that only their addresses tell them apart.
			NewWithT(t).Expect(a.planner == c.want).To(BeTrue())
		})
	}
}
