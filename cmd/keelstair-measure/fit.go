// Fits over the points of a sweep: a line, a parabola, and which of them the points bear.

package main

import (
	"fmt"
	"math"
)

// Shapes of growth.
const (
	constant  = "constant"
	linear    = "linear"
	quadratic = "quadratic"
	flattens  = "flattens"
	unclear   = "unclear" // it moves, and follows neither
)

// Fit is y over x.
type Fit struct {
	Xs, Ys   []float64
	Line     [3]float64 // a + b x
	Parabola [3]float64 // a + b x + c x x
	LineOff  float64    // root mean square of what is left, against the span of y
	CurveOff float64
	Shape    string
}

// solve gives the least squares of a polynomial of so many terms.
func solve(xs, ys []float64, terms int) [3]float64 {
	// x is scaled to at most 1, so that the sums stay of one size.
	top := 0.0
	for _, x := range xs {
		top = max(top, math.Abs(x))
	}
	if top == 0 {
		top = 1
	}
	var m [3][4]float64
	for i, x := range xs {
		p := [3]float64{1, x / top, x / top * x / top}
		for r := range terms {
			for c := range terms {
				m[r][c] += p[r] * p[c]
			}
			m[r][3] += p[r] * ys[i]
		}
	}
	for r := range terms {
		best := r
		for k := r + 1; k < terms; k++ {
			if math.Abs(m[k][r]) > math.Abs(m[best][r]) {
				best = k
			}
		}
		m[r], m[best] = m[best], m[r]
		if math.Abs(m[r][r]) < 1e-12 {
			continue
		}
		for k := range terms {
			if k == r {
				continue
			}
			f := m[k][r] / m[r][r]
			for c := range 4 {
				m[k][c] -= f * m[r][c]
			}
		}
	}
	var out [3]float64
	for r, scale := range [3]float64{1, 1 / top, 1 / (top * top)} {
		if r < terms && math.Abs(m[r][r]) >= 1e-12 {
			out[r] = m[r][3] / m[r][r] * scale
		}
	}
	return out
}

func value(p [3]float64, x float64) float64 { return p[0] + p[1]*x + p[2]*x*x }

// fit needs three points for a line, and four for a parabola.
func fit(xs, ys []float64) Fit {
	f := Fit{Xs: xs, Ys: ys, Shape: unclear}
	if len(xs) < 3 {
		return f
	}
	lo, hi, mean := math.Inf(1), math.Inf(-1), 0.0
	for _, y := range ys {
		lo, hi, mean = min(lo, y), max(hi, y), mean+y/float64(len(ys))
	}
	off := func(p [3]float64) float64 {
		s := 0.0
		for i, x := range xs {
			s += (ys[i] - value(p, x)) * (ys[i] - value(p, x))
		}
		if hi == lo {
			return 0
		}
		return math.Sqrt(s/float64(len(xs))) / (hi - lo)
	}
	f.Line = solve(xs, ys, 2)
	f.LineOff, f.CurveOff = off(f.Line), math.NaN()
	if len(xs) >= 4 {
		f.Parabola = solve(xs, ys, 3)
		f.CurveOff = off(f.Parabola)
	}
	// What a line explains of the span, and what a parabola does besides.
	duration := xs[len(xs)-1] - xs[0]
	grown := math.Abs(f.Line[1]) * duration
	// A parabola that turns within the points is a wave, not a growth.
	turn := -f.Parabola[1] / (2 * f.Parabola[2])
	turns := turn > xs[0]+0.1*duration && turn < xs[len(xs)-1]-0.1*duration
	switch {
	case hi-lo < 0.15*math.Abs(mean), grown < 0.15*math.Abs(mean):
		f.Shape = constant
	case len(xs) >= 4 && f.CurveOff < 0.4*f.LineOff && math.Abs(f.Parabola[2])*duration*duration > 0.25*grown &&
		f.Parabola[2] > 0 && !turns:
		f.Shape = quadratic
	case len(xs) >= 4 && f.CurveOff < 0.6*f.LineOff && math.Abs(f.Parabola[2])*duration*duration > 0.25*grown &&
		f.Parabola[2] < 0:
		f.Shape = flattens
	case f.LineOff < 0.12:
		f.Shape = linear
	}
	return f
}

// At carries the fit on to a size. Where it flattens, the points are joined, and the last
// two points' slope is taken from there on; where it is unclear the line, or the mean of the points if that is more.
func (f *Fit) At(x float64) float64 {
	n := len(f.Xs)
	switch {
	case n == 0:
		return math.NaN()
	case n < 3:
		return f.Ys[n-1]
	}
	switch f.Shape {
	case constant:
		return value(f.Line, (f.Xs[0]+f.Xs[n-1])/2)
	case quadratic:
		return value(f.Parabola, x)
	case flattens:
		for i := 1; i < n; i++ {
			if x <= f.Xs[i] {
				return f.Ys[i-1] + (f.Ys[i]-f.Ys[i-1])/(f.Xs[i]-f.Xs[i-1])*(max(x, f.Xs[0])-f.Xs[i-1])
			}
		}
		b := (f.Ys[n-1] - f.Ys[n-2]) / (f.Xs[n-1] - f.Xs[n-2])
		return f.Ys[n-1] + max(0, b)*(x-f.Xs[n-1])
	case unclear:
		mean := 0.0
		for _, y := range f.Ys {
			mean += y / float64(n)
		}
		return max(mean, value(f.Line, x))
	}
	return value(f.Line, x)
}

// Slope is the growth by one more x, 0 where it is constant.
func (f *Fit) Slope() float64 {
	if f.Shape == constant || len(f.Xs) < 3 {
		return 0
	}
	return f.Line[1]
}

// Crosses gives the first size at which a bound is reached, up to most; 0 if none is, and
// the first point's if that is over it.
func (f *Fit) Crosses(bound, most float64) float64 {
	if len(f.Xs) == 0 || f.At(most) < bound {
		return 0
	}
	if f.At(f.Xs[0]) >= bound {
		return f.Xs[0]
	}
	lo, hi := f.Xs[0], most
	for range 60 {
		if mid := (lo + hi) / 2; f.At(mid) < bound {
			lo = mid
		} else {
			hi = mid
		}
	}
	return hi
}

// String returns the fitted formula in x, as the capacity page shows it.
func (f *Fit) String() string {
	if len(f.Xs) < 3 {
		return "too few points"
	}
	switch f.Shape {
	case constant:
		return num(f.At(0))
	case quadratic:
		return fmt.Sprintf("%s %s x %s x²", num(f.Parabola[0]), sign(f.Parabola[1]), sign(f.Parabola[2]))
	}
	return fmt.Sprintf("%s %s x", num(f.Line[0]), sign(f.Line[1]))
}

func sign(v float64) string {
	if v < 0 {
		return "- " + num(-v)
	}
	return "+ " + num(v)
}

// num writes three digits that count.
func num(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "not run"
	case a == 0:
		return "0"
	case a < 0.0001:
		return fmt.Sprintf("%.1e", v)
	case a < 1:
		return fmt.Sprintf("%.3g", v)
	case a < 10:
		return fmt.Sprintf("%.2f", v)
	case a < 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}
