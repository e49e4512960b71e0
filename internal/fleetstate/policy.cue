// The schema of a policy, that is, of a fleet configuration. A star marks a default.
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
	// The program changes the roles of workers if switch is true. At most one program may have it.
	turns: *false | bool
}

#Limits: {
	// Maximum number of concurrent streams on one node.
	inflight: *512 | (int & >0 & <=100000)
	// Maximum number of requests that one worker may be starting at once.
	queue: *16 | (int & >0 & <=10000)
	// Slow-start duration of a worker that is new, has changed its role or has come back.
	rampMs: *2000 | (int & >=0 & <=600000)
	// Maximum age of a worker's load report.
	lagMs: *500 | (int & >=0 & <=60000)
	// Retry budget shared by all nodes: tokens per second and maximum number of tokens.
	retryRate:  *4.0 | (number & >=0 & <=10000)
	retryBurst: *12 | (int & >=0 & <=10000)
	// Maximum number of attempts for one request, including the first.
	attempts: *3 | (int & >0 & <=10)
	// Number of prompt tokens that form the shared prefix.
	prefixTokens: *64 | (int & >0 & <=100000)
	// Minimum Retry-After of a rejected request; it rises when many requests are rejected.
	retryAfterMs: *1000 | (int & >0 & <=60000)
	// Minimum time that a worker keeps a role before it may change again.
	dwellMs: *4000 | (int & >=0 & <=3600000)
	// Maximum number of execution steps of a routing program for one request.
	steps: *20000 | (int & >0 & <=10000000)
	// Time after which a request that has not started yet is abandoned.
	giveUpMs: *4000 | (int & >0 & <=600000)
	// Total number of idempotency keys that may ever be claimed. Each permanently takes 24 bytes
	// of memory and disk on every machine that stores the replicated state.
	deeds: *20000000 | (int & >=1000 & <=1000000000)
}

// A route forwards opaque requests for a host and path prefix to the workers of a service.
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
	// Requests on the route need no tenant key.
	public: *false | bool
}

// If tenants are configured, a request on a route that is not public must carry the key of one.
#Tenant: {
	name:     string & !=""
	keys:     *[] | [...(string & !="")]
	urgency?: int & >=0 & <=9
}

// The known properties of a service's workers.
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

// A regime governs kinds of requests: only nodes that are certified for it may handle them.
#Regime: {
	kinds: [...(string & !="")]
	// Percentage of a certified worker's capacity that ungoverned work leaves free.
	keep: *20 | (int & >=0 & <=90)
}

// A trusted signer of certificates and the period in which its signatures are valid.
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
