package dragonflyrequestwork_test

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyrequestwork"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
)

func ExampleOf() {
	models := []dragonflymodelprofile.ModelProfile{{Name: "m", Pace: 2}}
	grouped := dragonflydocumentservice.Service{Engine: dragonflyengineprofile.EngineProfile{Models: models, PrefillRate: 20000}}
	const objective = 300 * dragonflyduration.Millisecond
	fmt.Println(dragonflyrequestwork.Of(grouped, "m", 700, objective).Milliseconds())
	fmt.Println(dragonflyrequestwork.Of(dragonflydocumentservice.Service{}, "", 0, objective).Milliseconds())
	// Output:
	// 100
	// 100
}
