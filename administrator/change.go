package administrator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"zinniashore.example/configurer"
)

// changeCodes are the HTTP status codes of what became of a change.
var changeCodes = map[configurer.State]int{
	configurer.StateAccepted: http.StatusOK,
	configurer.StateValid:    http.StatusOK,
	configurer.StatePending:  http.StatusAccepted,
	configurer.StateConflict: http.StatusConflict,
	configurer.StateRejected: http.StatusUnprocessableEntity,
}

func (a *Administrator) postChange(c call) answer {
	var m ChangeMessage
	if malformed, ok := c.read(&m); !ok {
		return malformed
	}
	if !c.principal.isOperator() {
		if m.Organisation != "" && m.Organisation != c.principal.organisation {
			return forbidden()
		}
		m.Organisation = c.principal.organisation
	}
	change := m.change(c.principal)
	if m.DryRun {
		preview := a.Configurer.Preview(change)
		result := resultMessage(m.ID, preview.Result)
		result.DryRun = true
		result.Steps = stepMessages(preview.Steps)
		return answer{code: changeCodes[result.State], message: result}
	}
	result, err := a.Configurer.Apply(c.Context(), change)
	if err != nil {
		return failed(err)
	}
	return answer{code: changeCodes[result.State], message: resultMessage(m.ID, result)}
}

// getChange answers for changes of all organisations: a result names none.
func (a *Administrator) getChange(c call) answer {
	id := pathvar.Vars(c.Request)["id"]
	result, found, err := a.Configurer.Outcome(c.Context(), id)
	// A change that is found is durable, also where the confirmations can't be
	// read: it is then pending.
	if err != nil && !found {
		return failed(err)
	}
	if !found {
		return failure(http.StatusNotFound, CodeNotFound, "no recent change with this id", true)
	}
	return answer{code: changeCodes[result.State], message: resultMessage(id, result)}
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
		return forbidden()
	}
	vm := pathvar.Vars(c.Request)["vm"]
	if err := a.Configurer.Release(c.Context(), vm, c.principal.operator); err != nil {
		return failed(err)
	}
	return answer{code: http.StatusOK, message: ReleaseMessage{VM: vm}}
}
