package charts
import "testing"
func TestLoad(t *testing.T){ for _,n:=range Names(){ if _,err:=Load(n);err!=nil{t.Error(err)} } }
