package administrator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"zinniashore.example/configurer"
)

// changeStatusCodes are the HTTP status codes of the states of a change.
var changeStatusCodes = map[configurer.State]int{
	configurer.StateAccepted: http.StatusOK,
	configurer.StateValid:    http.StatusOK,
	configurer.StatePending:  http.StatusAccepted,
	configurer.StateConflict: http.StatusConflict,
	configurer.StateRejected: http.StatusUnprocessableEntity,
}

func (a *Administrator) postChange(c call) answer {
	var m ChangeMessage
	if malformed, ok := c.readBody(&m); !ok {
		return malformed
	}
	if !c.principal.isOperator() {
		if m.Organisation != "" && m.Organisation != c.principal.organisation {
			return forbiddenAnswer()
		}
		m.Organisation = c.principal.organisation
	}
	change := m.change(c.principal)
	if m.DryRun {
		preview := a.Configurer.Preview(change)
		result := resultMessage(m.ID, preview.Result)
		result.DryRun = true
		result.Steps = stepMessages(preview.Steps)
		return answer{code: changeStatusCodes[result.State], message: result}
	}
	result, err := a.Configurer.Apply(c.Context(), change)
	if err != nil {
		return errorAnswer(err)
	}
	return answer{code: changeStatusCodes[result.State], message: resultMessage(m.ID, result)}
}

// getChange returns the result of a change. Organisations may read the results of each
// other's changes, because a result does not name an organisation.
func (a *Administrator) getChange(c call) answer {
	id := pathvar.Vars(c.Request)["id"]
	result, found, err := a.Configurer.Outcome(c.Context(), id)
	// A change that is found is durable. If its confirmations can't be read, its state
	// is pending and the error is not returned.
	if err != nil && !found {
		return errorAnswer(err)
	}
	if !found {
		return failureAnswer(http.StatusNotFound, CodeNotFound, "no recent change with this id", true)
	}
	return answer{code: changeStatusCodes[result.State], message: resultMessage(id, result)}
}

func (a *Administrator) getConfiguration(c call) answer {
	organisation := c.URL.Query().Get("organisation")
	if !c.principal.isOperator() {
		organisation = c.principal.organisation
	}
	document := a.Configurer.Document()
	m := ConfigurationMessage{Revision: document.Revision, Templates: []FileMessage{}, Organisations: []FileMessage{}}
	for _, f := range document.Templates {
		m.Templates = append(m.Templates, fileMessage(f))
	}
	for _, f := range document.Organisations {
		if organisation == "" || f.Name == organisation {
			m.Organisations = append(m.Organisations, fileMessage(f))
		}
	}
	return answer{code: http.StatusOK, message: m}
}

func fileMessage(f configurer.File) FileMessage {
	return FileMessage{Name: f.Name, Revision: f.Revision, Content: string(f.Content)}
}

func (a *Administrator) releaseVM(c call) answer {
	if !c.principal.isOperator() {
		return forbiddenAnswer()
	}
	vm := pathvar.Vars(c.Request)["vm"]
	if err := a.Configurer.Release(c.Context(), vm, c.principal.operator); err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: ReleaseMessage{VM: vm}}
}
