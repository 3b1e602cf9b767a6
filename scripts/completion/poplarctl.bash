# Tab completion of poplarctl for bash: source this file.
_poplarctl() {
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local flags="--vm --callers --key --key_file --workspace --idempotency_key --author --subject --html --log --json --wait --help"
    COMPREPLY=()
    case $word in
        -*) mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$word"); return ;;
    esac
    case $previous in
        rules) mapfile -t COMPREPLY < <(compgen -W "check show diff apply log explain" -- "$word") ;;
        settings) mapfile -t COMPREPLY < <(compgen -W "check reference" -- "$word") ;;
        job) mapfile -t COMPREPLY < <(compgen -W "list show why cancel explain" -- "$word") ;;
        check | diff | apply | submit | --key_file) mapfile -t COMPREPLY < <(compgen -f -- "$word") ;;
        *) mapfile -t COMPREPLY < <(compgen -W "rules settings submit job status fragmentation drain timeline" -- "$word") ;;
    esac
}
complete -F _poplarctl poplarctl
