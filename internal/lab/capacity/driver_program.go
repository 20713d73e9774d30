package capacity

// Program is what the sweeps with processes start as drivers; "": they are not played.
var Program string
