// The shape of a policy. Defaults are marked with a star.
#Worker: {
	part:     "prefill" | "decode"
	model:    string & !=""
	weights:  string & !=""
	adapters: *[] | [...string]
	room:     int & >0 & <=10000000
	block:    *16 | (int & >0 & <=4096)
	zone:     string & !=""
}

#Kind: {
	claimed:   *false | bool
	model:     string & !=""
	maxTokens: int & >0 & <=100000
	maxPrompt: *32768 | (int & >0 & <=1000000)
	weight:    *1 | (int & >0 & <=100)
}

#Program: {
	source: string & !=""
	share:  *0 | (int & >=0 & <=100)
	shadow: *false | bool
	// In charge of turning workers, if switch is on; one program may be.
	turns: *false | bool
}

#Limits: {
	// Streams that one node carries at once.
	inflight: *512 | (int & >0 & <=100000)
	// Starts that one worker may have under way.
	queue: *16 | (int & >0 & <=10000)
	// How long a new, switched or returned worker ramps up.
	rampMs: *2000 | (int & >=0 & <=600000)
	// How old a worker's report may be.
	lagMs: *500 | (int & >=0 & <=60000)
	// The retry budget that all nodes share: tokens a second, and the most.
	retryRate:  *4.0 | (number & >=0 & <=10000)
	retryBurst: *12 | (int & >=0 & <=10000)
	// Tries at one request, the first included.
	attempts: *3 | (int & >0 & <=10)
	// How many prompt tokens make the shared prefix.
	prefixTokens: *64 | (int & >0 & <=100000)
	// What a bounced caller is told at least; with many it is more.
	retryAfterMs: *1000 | (int & >0 & <=60000)
	// How long a worker keeps a part before it may switch again.
	dwellMs: *4000 | (int & >=0 & <=3600000)
	// Steps that a routing program may take for one request.
	steps: *20000 | (int & >0 & <=10000000)
	// When a request that was not yet started is given up.
	giveUpMs: *4000 | (int & >0 & <=600000)
	// How many rulings and verdicts may ever be claimed; each takes 24 bytes of
	// memory and disk at every disk machine for good.
	deeds: *20000000 | (int & >=1000 & <=1000000000)
}

// A route carries opaque requests of a host and path prefix to a service's workers.
#Route: {
	name:       string & !=""
	host:       string & !=""
	prefix:     =~"^/(.*/)?$"
	service:    *"" | string
	split:      *[] | [...{service: string & !="", weight: int & >=0}]
	stream:     *false | bool
	repeatable: *false | bool
	resumable:  *false | bool
	apart:      *false | bool
	tries:      *1 | (int & >0 & <=10)
	deadlineMs: int & >0 & <=3600000
	aimMs:      *deadlineMs | (int & >0)
	gapMs:      *0 | (int & >=0)
	urgency:    *5 | (int & >=0 & <=9)
	// Requests need no key of a tenant.
	public: *false | bool
}

// Where there are tenants, requests on routes that are not public bear one of their keys.
#Tenant: {
	name:     string & !=""
	keys:     *[] | [...(string & !="")]
	urgency?: int & >=0 & <=9
}

// What is known of a service's workers beforehand.
#Service: {
	name:      string & !=""
	probe:     *"" | string
	conns:     *0 | (int & >=0)
	warmMs:    *0 | (int & >=0)
	warmRate:  *0 | (number & >=0)
	slots:     *0 | (int & >=0)
	memory:    *0 | (int & >=0)
	tokenSize: *0 | (int & >=0)
	holdMs:    *0 | (int & >=0)
	turnMs:    *0 | (int & >=0)
	models:    *[] | [...string]
}

// A regime governs kinds: they are handled on nodes alone that are certified for it.
#Regime: {
	kinds: [...(string & !="")]
	// Of a certified worker's room, how many percent other work leaves free.
	keep: *20 | (int & >=0 & <=90)
}

// Whose signature under a certificate counts, and when.
#Issuer: {
	key:   string & !=""
	from:  string & !=""
	until: string & !=""
}

#Certificate: {
	serial:    =~"^[0-9A-Za-z-]{1,64}$"
	worker?:   string & !=""
	node?:     string & !=""
	regime:    string & !=""
	parts?:    [...("prefill" | "decode")]
	from:      string & !=""
	until:     string & !=""
	issuer:    string & !=""
	signature: string & !=""
}

#Policy: {
	regimes?: [=~"^[0-9A-Za-z-]{1,64}$"]:         #Regime
	issuers?: [=~"^[0-9A-Za-z-]{1,64}$"]:         #Issuer
	certificates?: [Serial=string]: #Certificate & {serial: Serial}
	routes?: [...#Route]
	tenants?: [...#Tenant]
	services?: [Name=string & !=""]: #Service & {name: Name}
	intake?: {
		headerBytes:  *16384 | (int & >0)
		bodyBytes:    *4194304 | (int & >0)
		headerWaitMs: *3000 | (int & >0)
		idleMs:       *15000 | (int & >0)
	}
	workers: [string & !=""]:  #Worker
	zones:                     [...(string & !="")]
	kinds: [string & !=""]:    #Kind
	programs: [string & !=""]: #Program
	limits:                    #Limits
	switch:                    *true | bool
}
