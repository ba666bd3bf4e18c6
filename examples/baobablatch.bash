# bash completion for baobablatch
_baobablatch() {
    local cur=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]}
    local words
    if [ "$COMP_CWORD" -eq 1 ]; then
        words="serve forward init lists status dump drain voter query explain check --help --version"
    else
        case $command in
        lists) words="check show diff apply --admin --token --expected --change --no-wait" ;;
        voter) words="add remove replace --admin --token" ;;
        status | dump | drain) words="--admin --token --help" ;;
        query) words="--http" ;;
        explain | check) COMPREPLY=($(compgen -f -- "$cur")); return ;;
        serve | forward | init) words=$(baobablatch "$command" --help 2>/dev/null | grep -oE -- '--[a-z-]+') ;;
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$cur"))
}
complete -F _baobablatch baobablatch
