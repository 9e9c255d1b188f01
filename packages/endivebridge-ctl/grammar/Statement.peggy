statement = _ found:(watch / query / command) _ { return found; }

watch "watch" = "watch" __ query:show { return { kind: "watch", query }; }

query "query" = show / explain

show = "show" __ subject:subject of:(__ "of" __ @name)? where:where? order:order? {
    return { kind: "show", subject, of: of ?? undefined, where: where ?? [], orderBy: order ?? undefined };
}

subject "what to show: instances, servers, services, peers, drains, shifts, configuration in force, operations in doubt or struck requests"
    = "instances" / "servers" / "services" / "peers" / "drains" / "shifts"
    / "configuration" __ "in" __ "force" { return "configuration"; }
    / "operations" __ "in" __ "doubt" { return "operations"; }
    / "struck" __ "requests" { return "struck"; }

where = __ "where" __ first:condition rest:(__ "and" __ @condition)* { return [first, ...rest]; }
condition "condition, as in region = kootenay" = field:field _ "=" _ value:conditionValue { return { field, value }; }
order = __ "order" __ "by" __ field:field { return field; }

explain = "explain" __ "lookup" __ client:address __ service:name {
    return { kind: "explainLookup", client, service };
}

command "command" = drain / stopDrain / cap / uncap / accept

drain = "drain" __ "region" __ region:name __ "at" __ percent:number _ "%" __ "per" __ "minute" {
    return { kind: "drain", region, sharePerMinute: percent / 100 };
}

stopDrain = "stop" __ "drain" __ "region" __ region:name { return { kind: "stopDrain", region }; }

cap = "cap" __ "shift" __ "of" __ service:name __ "into" __ region:name __ "to" __ rate:number __ "requests" __ "per" __ "second" {
    return { kind: "cap", service, region, requestsPerSecond: rate };
}

uncap = "uncap" __ "shift" __ "of" __ service:name __ "into" __ region:name {
    return { kind: "uncap", service, region };
}

accept = "accept" __ file:path { return { kind: "accept", file }; }

name "name" = $([a-z0-9] [a-z0-9-]*)
field "field" = $([a-zA-Z]+)
conditionValue "value" = $([a-zA-Z0-9._-]+)
address "IPv4 address" = $([0-9]+ "." [0-9]+ "." [0-9]+ "." [0-9]+)
path "file" = $([^ \t]+)
number "number" = digits:$([0-9]+ ("." [0-9]+)?) { return Number(digits); }
_ "space" = [ \t]*
__ "space" = [ \t]+
